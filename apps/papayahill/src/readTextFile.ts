import { readFileSync } from 'node:fs'
import { CliFailure } from './CliFailure.js'
import { EXIT_CODES } from './exitCodes.js'

/** Reads a text file; throws a failure that names the file if it can't be read. */
export const readTextFile = (path: string): string => {
  try {
    return readFileSync(path, 'utf8')
  } catch {
    throw new CliFailure(`${path} can't be read; give the path of a file`, EXIT_CODES.malformed)
  }
}

import { readFileSync } from 'node:fs'
import { dirname, resolve } from 'node:path'
import { formatFault, parseInstanceSettings } from '@papayahill/settings'
import type { Environment, InstanceSettings } from '@papayahill/settings'
import { Result } from 'true-myth'

const readText = (path: string): string | undefined => {
  try {
    return readFileSync(path, 'utf8')
  } catch {
    return undefined
  }
}

/**
 * Reads a settings file and the secrets it refers to, resolved relative to the file; the error has one line per fault.
 *
 * @example
 * loadSettings('ph-1.toml', process.env)
 */
export const loadSettings = (file: string, env: Environment): Result<InstanceSettings, string> => {
  const text = readText(file)
  if (text === undefined) return Result.err(`${file}: can't be read; give the path of a settings file`)
  const folder = dirname(resolve(file))
  return parseInstanceSettings(text, file, env, (path) => readText(resolve(folder, path)))
    .mapErr((faults) => faults.map(formatFault).join('\n'))
}

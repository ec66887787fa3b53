import type { Clock, Json } from '@papayahill/common'
import { CliFailure } from './CliFailure.js'
import { EXIT_CODES } from './exitCodes.js'
import { OperatorClient } from './OperatorClient.js'
import { readTextFile } from './readTextFile.js'
import type { Cli, CommonArguments } from './types.js'

export interface CliOptions {
  readonly clock: Clock
  readonly env: Readonly<Record<string, string | undefined>>
  readonly write: (text: string) => void
}

const tokenOf = (args: CommonArguments, env: CliOptions['env']): string => {
  const token = args.tokenFile === undefined ? env.PAPAYAHILL_TOKEN : readTextFile(args.tokenFile)
  if (token !== undefined && token.trim() !== '') return token.trim()
  throw new CliFailure('no token; set PAPAYAHILL_TOKEN or give --token-file', EXIT_CODES.malformed)
}

/** Creates the context in which a command runs. */
export const createCli = (args: CommonArguments, options: CliOptions): Cli => {
  const print = (line: string): void => options.write(`${line}\n`)
  return {
    clock: options.clock,
    print,
    printResult: (value: Json, formatLines) => {
      if (args.json) print(JSON.stringify(value))
      else for (const line of formatLines()) print(line)
    },
    client: () => new OperatorClient({
      origins: args.operators.split(',').map((origin) => origin.trim()),
      token: tokenOf(args, options.env),
      clock: options.clock
    })
  }
}

import type { Clock, Json } from '@papayahill/common'
import type { ArgumentsCamelCase, Argv } from 'yargs'
import type { ExitCode } from './exitCodes.js'
import type { OperatorClient } from './OperatorClient.js'

/** Options that all commands share. */
export interface CommonArguments {
  readonly json: boolean
  readonly operators: string
  readonly tokenFile?: string
}

/** Context in which a command runs. */
export interface Cli {
  readonly clock: Clock
  /** Prints one line of text. */
  print (line: string): void
  /** Prints a result as JSON with `--json`, else as the lines of `formatLines`. */
  printResult (value: Json, formatLines: () => readonly string[]): void
  /** Creates the client of the instances; throws if there is no token. */
  client (): OperatorClient
}

/** One command as listed in `COMMANDS`. */
export interface CliCommand {
  readonly command: string
  readonly describe: string
  readonly examples?: ReadonlyArray<readonly [string, string]>
  builder (argv: Argv<CommonArguments>): Argv<CommonArguments>
  run (args: CommonArguments, cli: Cli): Promise<ExitCode>
}

interface TypedCommand<Options> extends Omit<CliCommand, 'builder' | 'run'> {
  builder (argv: Argv<CommonArguments>): Argv<Options>
  run (args: ArgumentsCamelCase<Options>, cli: Cli): Promise<ExitCode>
}

/** Type-checks a command against its own options; the list of commands sees only the common ones. */
export const defineCommand = <Options extends CommonArguments>(command: TypedCommand<Options>): CliCommand =>
  command as unknown as CliCommand

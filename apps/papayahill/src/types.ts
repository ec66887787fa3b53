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

/** What a command may use. */
export interface Cli {
  readonly clock: Clock
  /** Prints one line for people. */
  print (line: string): void
  /** Prints a result: as JSON where asked for, else by `show`. */
  result (value: Json, show: () => readonly string[]): void
  /** The client of the instances; fails where there is no token. */
  client (): OperatorClient
}

/** One command, as the table of commands lists it. */
export interface CliCommand {
  readonly command: string
  readonly describe: string
  readonly examples?: ReadonlyArray<readonly [string, string]>
  builder (argv: Argv<CommonArguments>): Argv<CommonArguments>
  run (args: CommonArguments, cli: Cli): Promise<ExitCode>
}

interface CommandOf<Options> extends Omit<CliCommand, 'builder' | 'run'> {
  builder (argv: Argv<CommonArguments>): Argv<Options>
  run (args: ArgumentsCamelCase<Options>, cli: Cli): Promise<ExitCode>
}

/** Keeps a command's own options typed; the table sees only the common ones. */
export const defineCommand = <Options extends CommonArguments>(command: CommandOf<Options>): CliCommand =>
  command as unknown as CliCommand

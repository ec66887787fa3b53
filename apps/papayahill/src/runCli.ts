import type { Argv } from 'yargs'
import yargs from 'yargs'
import { CliFailure } from './CliFailure.js'
import { COMMANDS } from './commands/index.js'
import { DEFAULT_OPERATORS } from './constants.js'
import { createCli } from './createCli.js'
import type { CliOptions } from './createCli.js'
import { EXIT_CODES } from './exitCodes.js'
import type { ExitCode } from './exitCodes.js'
import type { CliCommand, CommonArguments } from './types.js'

export interface RunCliOptions extends CliOptions {
  /** Writes one line to standard error. */
  readonly writeError: (line: string) => void
}

const EXIT_HELP = 'Exit codes: 0 done, 1 refused or failed, 2 malformed command line or file, 3 no instance reached, ' +
  '4 not in force in time, 5 conflict with another change.'

const withCommon = (argv: Argv, env: CliOptions['env']): Argv<CommonArguments> => argv
  .option('json', { type: 'boolean', default: false, describe: 'Print JSON', global: true })
  .option('operators', {
    type: 'string', default: env.PAPAYAHILL_OPERATORS ?? DEFAULT_OPERATORS, describe: 'Operators\' listeners, separated by commas'
  })
  .option('token-file', { type: 'string', describe: 'File with the operator\'s token; default: PAPAYAHILL_TOKEN' })

const reportError = (err: unknown, options: RunCliOptions): ExitCode => {
  const message = err instanceof Error ? err.message : String(err)
  options.writeError(`papayahill: ${message}`)
  return err instanceof CliFailure ? err.code : EXIT_CODES.refused
}

/**
 * Runs one command line and returns its exit code.
 *
 * @example
 * const code = await runCli(['check', 'deployment.toml'], { clock, env, write, writeError })
 */
export const runCli = async (words: readonly string[], options: RunCliOptions): Promise<ExitCode> => {
  let code: ExitCode = EXIT_CODES.done
  const runOne = async (command: CliCommand, args: CommonArguments): Promise<void> => {
    try {
      code = await command.run(args, createCli(args, options))
    } catch (err) {
      code = reportError(err, options)
    }
  }
  const argv = withCommon(yargs([...words]), options.env).scriptName('papayahill').usage('$0 <command>')
  for (const command of COMMANDS) {
    argv.command(command.command, command.describe, (own: Argv) => {
      for (const [line, text] of command.examples ?? []) own.example(line, text)
      return command.builder(own as unknown as Argv<CommonArguments>)
    }, (args) => runOne(command, args as unknown as CommonArguments))
  }
  argv
    .completion('completion', 'Print a completion script for the shell')
    .demandCommand(1, 'give a command')
    .recommendCommands()
    .example('$0 demo', 'Run the whole system for half a minute')
    .epilogue(EXIT_HELP)
    .strict()
    .exitProcess(false)
    .fail((message, err) => {
      if (err instanceof CliFailure) throw err
      throw new CliFailure(`${message ?? err.message}; see papayahill --help`, EXIT_CODES.malformed)
    })
  try {
    await argv.parseAsync()
  } catch (err) {
    code = reportError(err, options)
  }
  return code
}

import { SystemClock } from '@papayahill/common'
import type { EventLevel } from '@papayahill/common'
import type { InstanceSettings } from '@papayahill/settings'
import { StopSignals } from '@papayahill/shutdown'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { STOP_CHECK_PERIOD } from './constants.js'
import { createLog } from './createLog.js'
import { Daemon } from './Daemon.js'
import { PAPAYAHILLD_EVENTS } from './events.js'
import { EXIT_CODES } from './exitCodes.js'
import type { ExitCode } from './exitCodes.js'
import { loadSettings } from './loadSettings.js'

const LEVELS = ['error', 'warn', 'info', 'debug'] as const satisfies readonly EventLevel[]

const exit = (code: ExitCode): void => { process.exit(code) }

const exitWithError = (message: string, code: ExitCode): void => {
  process.stderr.write(`papayahilld: ${message}\n`)
  exit(code)
}

const serve = async (cfg: InstanceSettings, level: EventLevel): Promise<void> => {
  const clock = new SystemClock()
  const log = createLog(level, { instance: cfg.id })
  log.emit(PAPAYAHILLD_EVENTS.starting, { domain: cfg.domain, callers: `${cfg.callers.ip}:${cfg.callers.port}` })
  const daemon = new Daemon(cfg, clock, log)
  const drain = async (): Promise<void> => {
    try {
      await daemon.drain()
    } catch (err) {
      log.emit(PAPAYAHILLD_EVENTS.taskFailed, { detail: String(err) })
      while (daemon.running > 0) await clock.sleep(STOP_CHECK_PERIOD)
      return exit(EXIT_CODES.failed)
    }
    log.emit(PAPAYAHILLD_EVENTS.stopped, {})
    exit(EXIT_CODES.stopped)
  }
  new StopSignals({ log, running: () => daemon.running, drain, cut: () => exit(EXIT_CODES.cut) }).listen(process)
  // A failed background task must not cut the streams of unrelated callers.
  process.on('unhandledRejection', (err) => log.emit(PAPAYAHILLD_EVENTS.taskFailed, { detail: String(err) }))
  const crash = (err: unknown): void => {
    log.emit(PAPAYAHILLD_EVENTS.crashed, { detail: err instanceof Error ? err.stack ?? err.message : String(err) })
    exitWithError('an unexpected error ended the process; see its log', EXIT_CODES.failed)
  }
  process.on('uncaughtException', crash)
  try {
    await daemon.start()
  } catch (err) {
    log.emit(PAPAYAHILLD_EVENTS.startFailed, { detail: String(err) })
    exitWithError(`could not start: ${String(err)}`, EXIT_CODES.failed)
  }
}

const run = async (file: string, level: EventLevel, isCheck: boolean): Promise<void> => {
  const settings = loadSettings(file, process.env)
  if (settings.isErr) return exitWithError(settings.error, EXIT_CODES.malformed)
  if (isCheck) process.stdout.write(`${file}: fits\n`)
  else await serve(settings.value, level)
}

await yargs(hideBin(process.argv))
  .scriptName('papayahilld')
  .usage('$0 --settings FILE\n\nRuns one entry instance until SIGTERM; running requests are finished first.')
  .option('settings', { type: 'string', demandOption: true, describe: 'The instance\'s settings file (TOML)' })
  .option('check', { type: 'boolean', default: false, describe: 'Check the settings and secrets, then exit' })
  .option('log-level', { choices: LEVELS, default: 'info' as const, describe: 'Lowest level of events to log' })
  .example('$0 --settings ph-1.toml', 'Serve')
  .example('$0 --settings ph-1.toml --check', 'Check whether the settings are valid')
  .epilogue('Exit codes: 0 planned stop, 1 error, 2 malformed settings or command line, 3 requests cut by SIGQUIT.')
  .completion('completion', 'Print a completion script for the shell')
  .version()
  .strict()
  .fail((message, err) => exitWithError(`${err?.message ?? message}; see papayahilld --help`, EXIT_CODES.malformed))
  .parseAsync()
  .then((args) => run(args.settings, args.logLevel, args.check))

import type { ExitCode } from './exitCodes.js'

/** Ends a command with an exit code and one line on standard error that says what to do. */
export class CliFailure extends Error {
  readonly code: ExitCode

  constructor (message: string, code: ExitCode) {
    super(message)
    this.code = code
  }
}

import { CliFailure } from '../CliFailure.js'
import { EXIT_CODES } from '../exitCodes.js'
import { defineCommand } from '../types.js'

/** Runs three instances before stand-ins in one process. */
export const demo = defineCommand({
  command: 'demo',
  describe: 'Run three instances before stand-ins in this process and show what they do',
  builder: (argv) => argv.option('seed', { type: 'number', default: 1, describe: 'Seed of the run' }),
  run: () => { throw new CliFailure('the demo is not there yet; see docs/RUNNING.md for real processes', EXIT_CODES.refused) }
})

import { runDemo } from '../demo/runDemo.js'
import { EXIT_CODES } from '../exitCodes.js'
import { defineCommand } from '../types.js'

/** Runs three instances against stand-ins in one process. */
export const demo = defineCommand({
  command: 'demo',
  describe: 'Run three instances against stand-ins in this process and show the results',
  builder: (argv) => argv.option('seed', { type: 'number', default: 1, describe: 'Seed of the run' }),
  run: async (args, cli) => {
    const hasPassed = await runDemo(cli, args.seed)
    return hasPassed ? EXIT_CODES.done : EXIT_CODES.refused
  }
})

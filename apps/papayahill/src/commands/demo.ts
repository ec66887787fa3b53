import { runDemo } from '../demo/runDemo.js'
import { EXIT_CODES } from '../exitCodes.js'
import { defineCommand } from '../types.js'

/** Runs three instances before stand-ins in one process. */
export const demo = defineCommand({
  command: 'demo',
  describe: 'Run three instances before stand-ins in this process and show what they do',
  builder: (argv) => argv.option('seed', { type: 'number', default: 1, describe: 'Seed of the run' }),
  run: async (args, cli) => {
    const isKept = await runDemo(cli, args.seed)
    return isKept ? EXIT_CODES.done : EXIT_CODES.refused
  }
})

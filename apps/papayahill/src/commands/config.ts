import { EXIT_CODES } from '../exitCodes.js'
import { defineCommand } from '../types.js'

/** Prints the configuration in force. */
export const config = defineCommand({
  command: 'config',
  describe: 'Print the configuration in force, its version and author',
  builder: (argv) => argv,
  run: async (_args, cli) => {
    const view = await cli.client().request('GET', '/v1/config')
    cli.printResult(view, () => [JSON.stringify(view, undefined, 2)])
    return EXIT_CODES.done
  }
})

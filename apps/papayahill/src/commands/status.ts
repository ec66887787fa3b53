import type { InstanceStatus } from '@papayahill/edge'
import { EXIT_CODES } from '../exitCodes.js'
import { showStatus } from '../showStatus.js'
import { defineCommand } from '../types.js'

/** What an instance sees: roster, versions in force, attainment, endpoints, moves. */
export const status = defineCommand({
  command: 'status',
  describe: 'Who misses targets and which stage is why; roster, endpoints, moves',
  builder: (argv) => argv.option('window', { type: 'number', describe: 'Seconds to look back; 300 where left out' }),
  run: async ({ window }, cli) => {
    const answer = await cli.client().ask('GET', window === undefined ? '/v1/status' : `/v1/status?window=${window}`)
    cli.result(answer, () => showStatus(answer as unknown as InstanceStatus))
    return EXIT_CODES.done
  }
})

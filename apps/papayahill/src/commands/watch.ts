import type { InstanceStatus } from '@papayahill/edge'
import { MILLIS_PER_SECOND, millis } from '@papayahill/common'
import { WATCH_PERIOD_SECONDS } from '../constants.js'
import { EXIT_CODES } from '../exitCodes.js'
import { showStatus } from '../showStatus.js'
import { defineCommand } from '../types.js'

/** Prints the status periodically. */
export const watch = defineCommand({
  command: 'watch',
  describe: 'Print the status every few seconds until stopped',
  builder: (argv) => argv
    .option('every', { type: 'number', default: WATCH_PERIOD_SECONDS, describe: 'Seconds between two polls' })
    .option('count', { type: 'number', default: Infinity, describe: 'Number of polls' }),
  run: async ({ every, count }, cli) => {
    const client = cli.client()
    for (let round = 0; round < count; round++) {
      if (round > 0) await cli.clock.sleep(millis(every * MILLIS_PER_SECOND))
      const answer = await client.request('GET', '/v1/status')
      cli.printResult(answer, () => [...showStatus(answer as unknown as InstanceStatus), ''])
    }
    return EXIT_CODES.done
  }
})

import type { InstanceStatus } from '@papayahill/edge'
import { MILLIS_PER_SECOND, millis } from '@papayahill/common'
import { WATCH_PERIOD_SECONDS } from '../constants.js'
import { EXIT_CODES } from '../exitCodes.js'
import { showStatus } from '../showStatus.js'
import { defineCommand } from '../types.js'

/** Prints the status again and again. */
export const watch = defineCommand({
  command: 'watch',
  describe: 'Print the status every few seconds until stopped',
  builder: (argv) => argv
    .option('every', { type: 'number', default: WATCH_PERIOD_SECONDS, describe: 'Seconds between two looks' })
    .option('count', { type: 'number', default: Infinity, describe: 'Number of looks' }),
  run: async ({ every, count }, cli) => {
    const client = cli.client()
    for (let look = 0; look < count; look++) {
      if (look > 0) await cli.clock.sleep(millis(every * MILLIS_PER_SECOND))
      const answer = await client.ask('GET', '/v1/status')
      cli.result(answer, () => [...showStatus(answer as unknown as InstanceStatus), ''])
    }
    return EXIT_CODES.done
  }
})

import type { Json } from '@papayahill/common'
import type { InstanceStatus } from '@papayahill/edge'
import { EXIT_CODES } from '../exitCodes.js'
import { mergeStatuses } from '../mergeStatuses.js'
import { showStatus } from '../showStatus.js'
import { defineCommand } from '../types.js'

/** What instances see: attainment over all that are asked, and roster, versions, endpoints, moves as the first sees them. */
export const status = defineCommand({
  command: 'status',
  describe: 'Who misses targets and which stage is why; roster, endpoints, moves',
  builder: (argv) => argv.option('window', { type: 'number', describe: 'Seconds to look back; 300 where left out' }),
  run: async ({ window }, cli) => {
    const path = window === undefined ? '/v1/status' : `/v1/status?window=${window}`
    const answers = await cli.client().askAll(path) as unknown as readonly [InstanceStatus, ...InstanceStatus[]]
    const merged = mergeStatuses(answers)
    cli.result(merged as unknown as Json, () => showStatus(merged))
    return EXIT_CODES.done
  }
})

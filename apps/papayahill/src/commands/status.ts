import type { Json } from '@papayahill/common'
import type { InstanceStatus } from '@papayahill/edge'
import { EXIT_CODES } from '../exitCodes.js'
import { mergeStatuses } from '../mergeStatuses.js'
import { showStatus } from '../showStatus.js'
import { defineCommand } from '../types.js'

/** Shows attainment aggregated over all instances, and roster, versions, endpoints and moves as the first instance reports them. */
export const status = defineCommand({
  command: 'status',
  describe: 'Show which classes miss their targets and the stage responsible; roster, endpoints, moves',
  builder: (argv) => argv.option('window', { type: 'number', describe: 'Time window in seconds; default: 300' }),
  run: async ({ window }, cli) => {
    const path = window === undefined ? '/v1/status' : `/v1/status?window=${window}`
    const answers = await cli.client().requestAll(path) as unknown as readonly [InstanceStatus, ...InstanceStatus[]]
    const merged = mergeStatuses(answers)
    cli.printResult(merged as unknown as Json, () => showStatus(merged))
    return EXIT_CODES.done
  }
})

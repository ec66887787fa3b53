import { seconds } from '@papayahill/common'
import { DEFAULT_LATE, DEFAULT_WINDOW } from '../constants.js'
import { judgeReports } from './judgeReports.js'
import type { ReportJudgement } from './judgeReports.js'
import { USAGE_FAULTS } from './usageFaults.js'
import type { UsageFault, UsageFaultName } from './usageFaults.js'
import { UsageHarness } from './UsageHarness.js'
import type { UsageHarnessOptions } from './UsageHarness.js'

/** Time after a fault in which all its windows become due, and more windows follow. */
const AFTERWARDS = seconds(30)
/** Windows at the end whose reports are not due yet. */
const OPEN_WINDOWS = 3

export interface PlayedFault {
  readonly harness: UsageHarness
  readonly judgement: ReportJudgement
}

/** Plays a fault, and compares all reports of the time before, during and after it with the truth. */
export const playFault = async (name: UsageFaultName, options: UsageHarnessOptions, afterwards = AFTERWARDS): Promise<PlayedFault> => {
  const fault: UsageFault = USAGE_FAULTS[name]
  const harness = new UsageHarness({ ...options, ...(fault.skewOf === undefined ? {} : { skewOf: fault.skewOf }) })
  await harness.start()
  const from = harness.window + 1
  const unreached = await fault.play(harness, options.seed)
  await harness.clock.advance(afterwards)
  const through = harness.window - OPEN_WINDOWS
  const judgement = judgeReports(harness.platform, { from, through, length: DEFAULT_WINDOW, late: DEFAULT_LATE, unreached })
  return { harness, judgement }
}

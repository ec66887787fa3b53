import { MILLIS_PER_SECOND, seconds } from '@papayahill/common'
import { DEFAULT_LATE, DEFAULT_WINDOW } from '../constants.js'
import { judgeReports } from './judgeReports.js'
import type { ReportJudgement } from './judgeReports.js'
import { USAGE_FAULTS } from './usageFaults.js'
import type { UsageFault, UsageFaultName } from './usageFaults.js'
import { UsageHarness } from './UsageHarness.js'
import type { UsageHarnessOptions } from './UsageHarness.js'
import type { UsageInstance } from './UsageInstance.js'

/** Time after a fault in which all its windows become due, and more windows follow. */
const AFTERWARDS = seconds(25)
/** Windows at the end whose reports are not due yet. */
const OPEN_WINDOWS = 3

export interface PlayedFault {
  readonly harness: UsageHarness
  readonly judgement: ReportJudgement
  /** Bytes a second that instances sent on the topic `report`, on average and at most, and on all topics at most. */
  readonly meanBytes: number
  readonly mostBytes: number
  readonly mostBytesOfAllTopics: number
  /** Store calls a second for reports, of all instances; those for the lease are not among them. */
  readonly storeCalls: number
}

/** Bytes that instances have sent so far. */
const bytesOf = (instances: readonly UsageInstance[]): ReadonlyMap<UsageInstance, { readonly report: number, readonly all: number }> =>
  new Map(instances.map((instance) => [instance, { report: instance.sentBytes('report'), all: instance.allSentBytes }]))

/** Plays a fault, and compares all reports of the time before, during and after it with the truth. */
export const playFault = async (name: UsageFaultName, options: UsageHarnessOptions, afterwards = AFTERWARDS): Promise<PlayedFault> => {
  const fault: UsageFault = USAGE_FAULTS[name]
  const harness = new UsageHarness({ ...options, ...(fault.skewOf === undefined ? {} : { skewOf: fault.skewOf }) })
  await harness.start()
  const begun = { at: harness.clock.now(), calls: harness.storeCalls, bytes: bytesOf(harness.alive) }
  const from = harness.window + 1
  const unreached = await fault.play(harness, options.seed)
  await harness.clock.advance(afterwards)
  const through = harness.window - OPEN_WINDOWS
  const judgement = judgeReports(harness.platform, { from, through, length: DEFAULT_WINDOW, late: DEFAULT_LATE, unreached })
  const passed = (harness.clock.now() - begun.at) / MILLIS_PER_SECOND
  const rates = harness.alive.flatMap((instance) => {
    const before = begun.bytes.get(instance)
    if (before === undefined) return []
    return [{ report: (instance.sentBytes('report') - before.report) / passed, all: (instance.allSentBytes - before.all) / passed }]
  })
  return {
    harness,
    judgement,
    meanBytes: rates.reduce((sum, { report }) => sum + report, 0) / Math.max(1, rates.length),
    mostBytes: Math.max(0, ...rates.map(({ report }) => report)),
    mostBytesOfAllTopics: Math.max(0, ...rates.map(({ all }) => all)),
    storeCalls: (harness.storeCalls - begun.calls) / passed
  }
}

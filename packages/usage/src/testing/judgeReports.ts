import type { Millis } from '@papayahill/common'
import { windowEnd } from '../windows.js'
import type { UnreachedWindows } from './usageFaults.js'
import type { UsagePlatform } from './UsagePlatform.js'

/** What was reported of a span of windows, beside the truth. */
export interface ReportJudgement {
  readonly windows: number
  /** Of these, the ones that were due while the store could be reached. */
  readonly due: number
  readonly inTime: number
  readonly missing: number
  readonly contradicted: number
  /** Largest error of one workspace's count in one window, as a share of the truth. */
  readonly worstError: number
  /** Largest error of the sum of all workspaces in one window. */
  readonly worstTotalError: number
  /** Largest time from a due window's end to its report. */
  readonly slowest: number
}

export interface JudgedSpan {
  readonly from: number
  /** Last window. */
  readonly through: number
  readonly length: Millis
  readonly late: Millis
  /** Windows that need not be reported in time, but must be reported. */
  readonly unreached?: UnreachedWindows | undefined
}

const shareOff = (reported: number, truth: number): number => truth === 0 ? (reported === 0 ? 0 : 1) : Math.abs(reported - truth) / truth

const sumOf = (counts: ReadonlyMap<unknown, number>): number => [...counts.values()].reduce((sum, count) => sum + count, 0)

/** Compares the reports that the platform accepted with the truth. */
export const judgeReports = (platform: UsagePlatform, { from, through, length, late, unreached }: JudgedSpan): ReportJudgement => {
  const { size: contradicted } = platform.contradicted
  const judged = { windows: 0, due: 0, inTime: 0, missing: 0, contradicted, worstError: 0, worstTotalError: 0, slowest: 0 }
  for (let window = from; window <= through; window++) {
    const isDue = unreached === undefined || window < unreached.from || window > unreached.through
    judged.windows++
    if (isDue) judged.due++
    const report = platform.accepted.get(window)
    const truth = platform.truth.get(window) ?? new Map<never, number>()
    if (report === undefined) {
      judged.missing++
      continue
    }
    const took = report.at - windowEnd(window, length)
    if (isDue && took <= late) judged.inTime++
    if (isDue) judged.slowest = Math.max(judged.slowest, took)
    for (const workspace of new Set([...truth.keys(), ...report.counts.keys()])) {
      judged.worstError = Math.max(judged.worstError, shareOff(report.counts.get(workspace) ?? 0, truth.get(workspace) ?? 0))
    }
    judged.worstTotalError = Math.max(judged.worstTotalError, shareOff(sumOf(report.counts), sumOf(truth)))
  }
  return judged
}

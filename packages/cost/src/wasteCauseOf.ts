import type { ErrorKind, RequestRecord, StageRecord, WasteCause } from '@papayahill/common'

const REFUSED: ReadonlySet<ErrorKind> = new Set<ErrorKind>(['over-capacity', 'over-budget', 'no-endpoint', 'not-ready', 'draining'])

/**
 * Whether an endpoint bills a call: one that never reached it, or that ended without a word of any work,
 * is not billed.
 */
export const isBilled = ({ outcome, usage }: StageRecord): boolean => {
  if (outcome === 'done') return true
  if (outcome === 'not-sent' || outcome === 'refused') return false
  return usage.busy + usage.tokensIn + usage.tokensCached + usage.tokensOut > 0
}

/**
 * Why one stage call was waste by itself; undefined where it may serve an answer.
 *
 * @example
 * wasteOfStage({ ...record, outcome: 'timed-out' }) // 'retry'
 */
export const wasteOfStage = ({ outcome, waste }: StageRecord): WasteCause | undefined => {
  if (waste !== undefined || outcome === 'done') return waste
  return outcome === 'cancelled' ? 'cancelled' : 'retry'
}

/**
 * Why the finished stages of a request turned out to be waste; undefined where it was answered.
 *
 * @example
 * wasteOfRequest({ ...record, outcome: 'failed', error: 'deadline-passed' }) // 'abandoned'
 */
export const wasteOfRequest = ({ outcome, error }: RequestRecord): WasteCause | undefined => {
  if (outcome === 'answered') return undefined
  if (error === 'caller-gone') return 'cancelled'
  return error !== undefined && REFUSED.has(error) ? 'refused-downstream' : 'abandoned'
}

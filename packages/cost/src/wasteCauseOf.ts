import type { ErrorKind, RequestRecord, StageRecord, WasteCause } from '@papayahill/common'

const REFUSED: ReadonlySet<ErrorKind> = new Set<ErrorKind>(['over-capacity', 'over-budget', 'no-endpoint', 'not-ready', 'draining'])

/** Whether a call is metered: not one that never reached its endpoint, or of whose work nothing was said. */
export const isMetered = ({ outcome, isUsageKnown }: StageRecord): boolean =>
  outcome !== 'not-sent' && outcome !== 'refused' && isUsageKnown !== false

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

import type { ErrorKind, RequestRecord, StageRecord, WasteCause } from '@papayahill/common'

const REFUSED: ReadonlySet<ErrorKind> = new Set<ErrorKind>(['over-capacity', 'over-budget', 'no-endpoint', 'not-ready', 'draining'])

/** Whether a call is metered. Calls that never reached their endpoint or whose usage is unknown are not. */
export const isMetered = ({ outcome, isUsageKnown }: StageRecord): boolean =>
  outcome !== 'not-sent' && outcome !== 'refused' && isUsageKnown !== false

/**
 * Why a stage call is waste on its own; undefined if it may contribute to an answer.
 *
 * @example
 * wasteOfStage({ ...record, outcome: 'timed-out' }) // 'retry'
 */
export const wasteOfStage = ({ outcome, waste }: StageRecord): WasteCause | undefined => {
  if (waste !== undefined || outcome === 'done') return waste
  return outcome === 'cancelled' ? 'cancelled' : 'retry'
}

/**
 * Why the finished stages of a request are waste; undefined if the request was answered.
 *
 * @example
 * wasteOfRequest({ ...record, outcome: 'failed', error: 'deadline-passed' }) // 'abandoned'
 */
export const wasteOfRequest = ({ outcome, error }: RequestRecord): WasteCause | undefined => {
  if (outcome === 'answered') return undefined
  if (error === 'caller-gone') return 'cancelled'
  return error !== undefined && REFUSED.has(error) ? 'refused-downstream' : 'abandoned'
}

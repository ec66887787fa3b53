import { millis, seconds } from '@papayahill/common'

/** Period of the evaluation of evidence. */
export const EVALUATION_PERIOD = millis(250)
/** Minimum time between two publications of an instance's evidence. */
export const PUBLISH_PERIOD = millis(500)
/** Bytes per second that an instance sends to all its peers together to publish evidence. */
export const EVIDENCE_BYTES_PER_SECOND = 1500
/** How often the recorded state of open moves is read. */
export const POLL_PERIOD = seconds(5)
/** Delay before an instance retries the store after a failure. */
export const RETRY_PERIOD = seconds(1)
/** Delay per rank before an instance records a step, so that instances with a lower {@link peerRank} go first. */
export const RANK_DELAY = millis(750)

/** Probability that a version that is no worse than the old one is rolled back in the course of a move. */
export const MOVE_ERROR_RATE = 0.002
/** Failure rates of the new version that the test assumes as alternatives. */
export const ASSUMED_FAILED_RATES = [0.08, 0.3, 0.9] as const
/** Rates of slow calls of the new version that the test assumes; the old one's rate follows from {@link SLOW_QUANTILE}. */
export const ASSUMED_SLOW_RATES = [0.2, 0.5, 0.9] as const
/** Assumed rates are at least this multiple of the old version's rate, so that a marginally worse version is not rolled back. */
export const MIN_RATIO = 3
/** Bounds of the rates that the test assumes. */
export const MAX_ASSUMED_RATE = 0.97
export const MIN_OLD_RATE = 0.003
/** A block is evaluated once it has calls of both versions and reaches this number of calls or this duration. */
export const BLOCK_CALLS = 30
export const BLOCK_SPAN = seconds(1)
/** A call is slow if it takes longer than this quantile of the old version's recent calls. */
export const SLOW_QUANTILE = 0.95
/** Buckets by which a call of the new version may exceed the threshold before it counts as slow: a quarter more time. */
export const SLOW_TOLERANCE_BUCKETS = 2
/** Calls of the old version that are needed to determine the slowness threshold. */
export const SLOW_MIN_CALLS = 20
/** Decay time constant of the old version's rates and durations, and of the concurrency estimate. */
export const RECENT_SPAN = seconds(20)
/** Calls of the new version that lose their connection within this span count as one failure, since one restart cuts many. */
export const LOSS_SPAN = seconds(5)
/** Evidence in nats from which the share is not raised if {@link HOLD_FAILED_SHARE} or {@link HOLD_SLOW_SHARE} is also reached. */
export const HOLD_NATS = 2.5
/** Decay time constant of evidence that holds back steps: a persistent fault renews it, a transient one fades. */
export const HOLD_EVIDENCE_SPAN = seconds(30)
/** Evidence in nats from which the share is not raised, regardless of the share of failed or slow calls. */
export const HOLD_ALWAYS_NATS = 7
/** Shares of failed and of slow calls of the new version that, together with {@link HOLD_NATS}, hold back a step. */
export const HOLD_FAILED_SHARE = 0.04
export const HOLD_SLOW_SHARE = 0.2

/** Initial share, before there is any evidence. */
export const FIRST_SHARE = 0.01
/** Highest share while probing: until each route has completed {@link FIRST_CALLS} calls on the new version. */
export const PROBE_SHARE_MAX = 0.03
/** Highest share while the move is open; the remaining calls serve as the control group. */
export const MAX_SHARE = 0.9
/** Calls to the new version that each route needs before the share exceeds {@link PROBE_SHARE_MAX}. */
export const FIRST_CALLS = 30
/** Calls to the new version that each route needs at each later share. */
export const STEP_CALLS = 20
/** Minimum time at one share. */
export const MIN_DWELL = seconds(5)
/** Fraction of the available time after which the move should be complete; the rest is reserve. */
export const TARGET_TIME_FRACTION = 0.75
/** Factors by which the share may grow in one step, the most cautious first. */
export const STEP_FACTORS = [2, 3, 5, 10] as const
/** Fraction of the new version's slots that a step may use. */
export const CAPACITY_FRACTION = 0.8
/** Minimum observation time before traffic is reported as insufficient. */
export const MIN_TRAFFIC_OBSERVATION = seconds(10)

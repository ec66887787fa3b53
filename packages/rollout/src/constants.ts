import { millis, seconds } from '@papayahill/common'

/** How often evidence is judged. */
export const JUDGE_PERIOD = millis(250)
/** Shortest time between two publications of an instance's evidence. */
export const PUBLISH_PERIOD = millis(500)
/** Bytes a second that an instance sends to all its peers together by publishing evidence. */
export const EVIDENCE_BYTES_PER_SECOND = 1500
/** How often the recorded state of open moves is read. */
export const POLL_PERIOD = seconds(5)
/** How long an instance leaves the store alone after it failed. */
export const RETRY_PERIOD = seconds(1)
/** How long an instance waits for each one that comes before it to record a step. */
export const TURN_PERIOD = millis(750)

/** Chance that a version which is no worse than the old one is taken back in a whole move. */
export const MOVE_ERROR_RATE = 0.002
/** Rates of failed calls of the new version that the test supposes. */
export const SUPPOSED_FAILED_RATES = [0.08, 0.3, 0.9] as const
/** Rates of slow calls of the new version that the test supposes; the old one's is what {@link SLOW_QUANTILE} leaves. */
export const SUPPOSED_SLOW_RATES = [0.2, 0.5, 0.9] as const
/** Supposed rates are at least this many times the old version's, so that a version hardly worse is not taken back. */
export const MIN_RATIO = 3
/** Bounds of the rates that the test supposes. */
export const MAX_SUPPOSED_RATE = 0.97
export const MIN_OLD_RATE = 0.003
/** A block of calls is judged when it has so many, or has lasted so long, and holds calls of both versions. */
export const BLOCK_CALLS = 30
export const BLOCK_SPAN = seconds(1)
/** A call is slow above this quantile of the old version's recent calls. */
export const SLOW_QUANTILE = 0.95
/** Buckets by which a call of the new version may be slower before it counts as slow: a quarter more time. */
export const SLOW_TOLERANCE_BUCKETS = 2
/** Old calls needed before calls can be called slow. */
export const SLOW_MIN_CALLS = 20
/** How fast recent calls are forgotten in the old version's rates and times. */
export const RECENT_SPAN = seconds(20)
/** Lost connections of the new version within this span count as one failure: an endpoint's restart cuts many calls at once. */
export const LOSS_SPAN = seconds(5)
/** Evidence against the new version, in nats, above which its share is not raised while its calls look bad. */
export const HOLD_NATS = 2.5
/** How fast such evidence fades: a fault that lasts renews it, trouble that has passed does not. */
export const DOUBT_SPAN = seconds(30)
/** The same however its calls look. */
export const HOLD_ALWAYS_NATS = 7
/** Shares of failed and of slow calls of the new version from which they look bad. */
export const DOUBT_FAILED_SHARE = 0.04
export const DOUBT_SLOW_SHARE = 0.2

/** Share before anything is known. */
export const FIRST_SHARE = 0.01
/** Highest share until each route has shown {@link FIRST_CALLS} good calls. */
export const PROBE_SHARE_MAX = 0.03
/** Highest share while the move is open; the rest stays as the control group. */
export const TOP_SHARE = 0.9
/** Calls to the new version that each route needs before the share passes {@link PROBE_SHARE_MAX}. */
export const FIRST_CALLS = 30
/** Calls to the new version that each route needs at each later share. */
export const STEP_CALLS = 20
/** Shortest time at one share. */
export const MIN_DWELL = seconds(5)
/** Part of the whole time by which the move aims to be done; the rest is reserve. */
export const AIM_PART = 0.75
/** Factors by which the share may grow in one step, the most careful first. */
export const STEP_FACTORS = [2, 3, 5, 10] as const
/** Part of the new version's slots that a step may fill. */
export const CAPACITY_PART = 0.8
/** Time that traffic is watched before it is called too little. */
export const TRAFFIC_WATCH = seconds(10)

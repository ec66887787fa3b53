import { millis, seconds } from '@papayahill/common'

/** Period of the reports until their size is known. */
export const REPORT_PERIOD = seconds(1)
/**
 * Bounds of the period. What was not reported is lost with its instance: with a sixth of the instances lost at the end of a window,
 * one second of unreported requests is a share of 0.033 of the window's, and more where few requests make it vary. The tolerance is
 * 0.05. Beyond `MAX_PERIOD`, a window's counts would arrive too late for its report.
 */
export const MIN_PERIOD = millis(400)
export const MAX_PERIOD = seconds(2.5)
/** Reports a second at one receiver from which on the period grows with the number of instances. */
export const REPORTS_PER_RECEIVER = 200
/** Bytes a second that the period is chosen for, of the 400 that an instance may send on average; the rest is for replies and names. */
export const REPORT_BYTES_PER_SECOND = 280
/** Weight of the latest report in the mean size. */
export const SIZE_WEIGHT = 0.1
/** Bytes that a frame adds to a report. */
export const FRAME_BYTES = 16
/**
 * Reports a second to which a receiver replies at most. A reply takes about 16 bytes, so that 200 replies a second would take all
 * 3,072 bytes that an instance may send; beyond this rate, instances ask for a reply with every n-th report only.
 */
export const MAX_REPLIES_PER_SECOND = 60
/**
 * Share of the period by which the time between two reports varies. Without it the instances that all reported to a new holder within
 * 0.4 s stayed in step, and 33 of 200 that died together had not reported the last 0.59 s on average; now 0.41 s.
 */
export const PERIOD_SPREAD = 0.4
/**
 * Time that a link to a new receiver may take, in which reports are tried again. A report during the dial fails at once, for which
 * new holders were passed over.
 */
export const LINK_TIME = millis(1000)
export const LINK_RETRY = millis(150)
/** Wait for a reply, after which the receiver is replaced for `SUSPICION_PERIOD`. */
export const REPORT_TIMEOUT = millis(1200)
export const SUSPICION_PERIOD = seconds(4)
/** A receiver whose link was silent for this long is not chosen. */
export const MAX_RECEIVER_SILENCE = millis(2500)
/** Reports to a new holder are spread over this time, so that they do not arrive all at once. */
export const HOLDER_CHANGE_SPREAD = millis(400)
/** Share of the largest capacity that a receiver should have, and the number of those below which all instances are candidates. */
export const MIN_RECEIVER_CAPACITY = 0.5
export const MIN_RECEIVERS = 3
/** Instances, first in the order of receivers, that are asked for what they collected. The backup is one of the first few. */
export const COLLECT_PEERS = 4
export const COLLECT_TIMEOUT = millis(800)
/** Wall clocks that must be known before they correct any other: with two, it is open which one is wrong. */
export const MIN_WALL_CLOCKS = 3
/** Age up to which a reported wall clock counts. */
export const WALL_CLOCK_TTL = seconds(12)
/**
 * A wall clock that moves by more than this against the monotonic one has jumped, and does not count for a while: with a third of
 * the clocks off and another third jumping, the median was 1.6 s off. Late arrivals make a clock seem to move by less.
 */
export const JUMP_SIZE = millis(500)
export const JUMP_DISTRUST = seconds(30)
/** Time for which the computed median is used. */
export const MEDIAN_TTL = millis(250)
/**
 * Share of the passed time by which the fleet clock is corrected. Three seconds then take a minute, and an error of the median
 * that lasts for one report moves the clock by at most 50 ms.
 */
export const SLEW_RATE = 0.05
/** Lead of the boot-time clock from which on the machine counts as having been suspended; `os.uptime()` has steps of 10 ms. */
export const MIN_SUSPENSION = millis(50)
/** A first correction above this is logged. */
export const LOGGED_CORRECTION = millis(200)
/** Shortest interval between two log lines about messages that could not be read. */
export const MALFORMED_LOG_PERIOD = seconds(10)

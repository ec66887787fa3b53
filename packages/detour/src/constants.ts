import { bytes, millis } from '@papayahill/common'

/** Max wait for a peer to take a request, and the share of the time left that it may use. */
export const TAKE_TIMEOUT = millis(250)
export const TAKE_TIME_SHARE = 1 / 3
/** Interval at which each side checks that the other one is still there. */
export const PRESENCE_CHECK_PERIOD = millis(100)
/** A peer whose link was silent for this many heartbeats is considered gone. */
export const MAX_SILENT_HEARTBEATS = 3.6
/** Time after a hand-over's deadline, in addition to the grace of late answers, after which it ends. */
export const END_MARGIN = millis(200)
/** Largest content of one message; encoded, it stays far below the largest frame. */
export const PART_BYTES = bytes(32_768)
/** Parts under way that the other side has not confirmed. */
export const MAX_UNCONFIRMED_PARTS = 32
/** Parts that are confirmed together. */
export const PARTS_PER_CONFIRMATION = 8
/** Bytes of an answer that may wait for confirmations. */
export const MAX_QUEUED_BYTES = bytes(4_194_304)
/** Requests of other instances that one core serves at a time. */
export const HAND_OVERS_PER_CORE = 128
/** Event loop delay from which an instance takes no request of another. */
export const MAX_LOOP_DELAY = millis(200)
/** Time after which an instance that was busy is offered requests again. */
export const BUSY_RETRY_AFTER = millis(300)
/** Factor by which a peer in another failure domain counts as busier, since bytes between domains are paid for. */
export const OTHER_DOMAIN_FACTOR = 1.5
/** Links that are kept open for each service that is not reached, in addition to those that are open anyway. */
export const KEPT_LINKS = 4

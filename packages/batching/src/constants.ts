import { millis } from '@papayahill/common'

/** Time without a frame from an instance after which an order that it has not accepted is given to another; a live one may be slow. */
export const MAX_ACCEPT_SILENCE = millis(1300)
/** Time for which an instance that did not accept an order is not chosen as coordinator here. */
export const SUSPICION_PERIOD = millis(1500)
/** Wait before an order goes once more to an instance that has refused it, where no other is known. */
export const REORDER_PERIOD = millis(50)
/** An instance whose link was silent for this many heartbeats is not chosen as coordinator. */
export const MAX_SILENT_HEARTBEATS = 2.6
/** Time for which an instance was not reachable after which its orders are dropped. */
export const MAX_SENDER_SILENCE = millis(1300)
/** Incarnations that stop and are remembered; many more than can stop at a time. */
export const MAX_LEAVING_INCARNATIONS = 2000
/** Time after which other instances' results are assumed to be read and freed. */
export const FOREIGN_RESULT_TTL = millis(800)
/** A call counts as lost after its forecast times this factor, plus the margin. */
export const LOST_FACTOR = 3
export const LOST_MARGIN = millis(400)
/** Time for which further losses are expected after a lost call. */
export const LOSS_EXPECTED_PERIOD = millis(3000)
/** Time after which an endpoint has certainly begun to read a call's inputs, and the minimum rate at which it reads them. */
export const READ_DELAY = millis(40)
export const READ_BYTES_PER_MILLI = 300_000
/** A call that took at most its forecast times this factor, plus the margin, did not wait behind another. */
export const UNCONTENDED_FACTOR = 1.2
export const UNCONTENDED_MARGIN = millis(40)
/** Wait before a refused batch is sent again. */
export const REFUSED_PAUSE = millis(60)
/** Wait before pieces are sent again to an endpoint that had no memory for their results. */
export const FULL_MEMORY_PAUSE = millis(80)
/** Share of an endpoint's memory that is used, since declared result sizes are approximate. */
export const USABLE_MEMORY_SHARE = 0.95
/** Released results are collected for this long and sent to their endpoint in one call. */
export const FREE_PERIOD = millis(100)
/** The same where more than a share of the endpoint's memory is in use. */
export const URGENT_FREE_PERIOD = millis(10)
export const URGENT_FREE_SHARE = 0.5
/** At an endpoint with a limit of requests, results are released once in the time of this many requests. */
export const CALLS_PER_FREE = 4
/** Weight of the latest call in an endpoint's slowdown. */
export const SLOWDOWN_WEIGHT = 0.3
/** Share of a result's lifetime in which it is relied on, since its exact expiry is not known. */
export const RESULT_TTL_SHARE = 0.95
/** Max retries of a stage's pieces before the request fails. */
export const MAX_PIECE_RETRIES = 4
/** Age up to which an endpoint's backlog report is used. */
export const BACKLOG_TTL = millis(1000)
/** Delay that stands for each byte carried between failure domains when endpoints are compared. */
export const CROSS_DOMAIN_MILLIS_PER_BYTE = 40 / 1_000_000
/** Delay up to which the engine's own failure domain is preferred for the stages before it. */
export const ENGINE_DOMAIN_PREFERENCE = millis(30)
/** Delay added to a domain's cost for each stage that has no endpoint there. */
export const MISSING_STAGE_PENALTY = millis(150)
/** Endpoints of a service in one group: few groups need few links, and still share the work between instances. */
export const ENDPOINTS_PER_GROUP = 8
/** Coordinators have at least this share of the largest instance's capacity, where enough instances do. */
export const MIN_COORDINATOR_CAPACITY = 0.5
/** Minimum number of such instances; with fewer, all instances can coordinate. */
export const MIN_COORDINATORS = 4
/** Age up to which backlogs are reported from the last plan. */
export const MAX_PLAN_AGE = millis(25)
/** Head start in due time for each step of priority over less urgent work. */
export const PRIORITY_STEP = millis(200)
/** Round trip to an endpoint, by which a call must end before its pieces are due. */
export const DUE_MARGIN = millis(10)
/** Max time between two plans while pieces are queued. */
export const PLAN_PERIOD = millis(50)
/** An overdue call is expected to take as long again as it is overdue, plus this margin. */
export const OVERDUE_MARGIN = millis(20)
/** Half-life of an endpoint's measured slowdown. */
export const SLOWDOWN_HALF_LIFE = millis(1500)
/** Upper bound of an endpoint's slowdown, as a multiple of the forecast. */
export const MAX_SLOWDOWN = 12
/** Time for which the wait of the latest order that a coordinator has accepted is expected of the next one. */
export const ACCEPT_WAIT_TTL = millis(1000)
/** Time to accept an order from which it is logged. */
export const LOGGED_ACCEPT_WAIT = millis(500)
/** Period of the check whether the instance that accepted an order is still reachable. */
export const PRESENCE_CHECK_PERIOD = millis(200)
/** Calls that a piece may be lost with before its request fails. */
export const MAX_PIECE_LOSSES = 4
/** Losses of a piece that say nothing: connections end for other reasons, too. */
export const HARMLESS_LOSSES = 1
/** Factor by which a call shrinks with each further loss of one of its pieces. */
export const LOSS_DIVISOR = 8
/** Handles of inputs that one call lists for all its pieces; each piece lists all of its stage's inputs. */
export const MAX_CALL_INPUTS = 16_384
/** Characters of ids, keys and handles that one call lists for all its pieces; each piece repeats those of its request. */
export const MAX_CALL_CHARACTERS = 1_048_576

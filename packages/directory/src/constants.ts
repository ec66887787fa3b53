import { millis, seconds } from '@papayahill/common'

/** Minimum time between two polls, so that tables with frequent changes cost few calls. */
export const MIN_POLL_INTERVAL = millis(250)
/** Bounds of the backoff after a failed poll; the last one applies where others poll the table as well. */
export const MIN_POLL_RETRY = millis(100)
export const MAX_POLL_RETRY = millis(800)
export const MAX_BACKUP_POLL_RETRY = seconds(3)
/** Instances that poll one table in the store for all others, in turn. */
export const WATCHER_COUNT = 3
/** Longest time from one watcher's answer to the next watcher's, while nothing changes. */
export const MAX_TURN = seconds(1)
/** Time by which an answer may come after its turn before backups poll. */
export const TURN_JITTER = millis(240)
/** A poll that would wait for less than this share of a turn waits for the turn after it. */
export const MIN_WAIT_SHARE = 1 / 8
/** Time from its commit within which a change must be in force on all instances: that of the strictest deployments. */
export const APPLY_TIME = seconds(2)
/** Share of that time that is left unplanned. */
export const APPLY_RESERVE = 0.1
/** Time for a poll that does not wait, and for its answer to reach all instances. */
export const POLL_ALLOWANCE = millis(100)
export const RELAY_ALLOWANCE = millis(100)
/** Shortest age of the store's last answer from which backups poll. */
export const MIN_AGE_LIMIT = millis(500)
/** Time from which twice as many backups poll, if none has been answered, and the longest time until all do. */
export const BACKUP_STEP = millis(45)
export const MAX_BACKUP_DELAY = millis(360)
/** Span between two answers of the store up to which no outage is assumed. */
export const USUAL_ANSWER_GAP = seconds(3)
/** Time after the start before an instance becomes a watcher: until then it may know only a few of the others. */
export const ROLE_START_DELAY = millis(2500)
/** Period at which an instance checks whether it is a watcher. */
export const ROLE_PERIOD = millis(500)
/** A status is relayed if the store's answer in it is newer than the known one by at least this much. */
export const MIN_STATUS_GAIN = millis(200)
/** Delay in which statuses are collected to be sent together. */
export const RELAY_DELAY = millis(15)
/** Changes up to this size are sent to all neighbours; larger ones are fetched by those that lack them. */
export const MAX_PUSHED_CHARACTERS = 4000
/** Longest wait for a neighbour to answer with its changed rows. */
export const FETCH_TIMEOUT = millis(500)
/** Changed rows kept for fetches of neighbours. */
export const RECENT_ROWS = 400
/** Removed rows whose last values are remembered, so that a restored store does not bring them back. */
export const MAX_REMOVED_ROWS = 2000
/** Length of their JSON altogether, in characters: rows of operators may be large. */
export const MAX_REMOVED_CHARACTERS = 2_000_000
/** Time for which a row that a restored store brings back stays removed; a dead endpoint's row expires in it. */
export const REMOVAL_RETENTION = seconds(30)
/** Time that operators have to write again what a restored store has lost. */
export const OPERATOR_RETENTION = seconds(8)
/** Shortest outage in which entries of live endpoints may have expired. */
export const LAPSE_OUTAGE = seconds(1)
/** Time that endpoints have to register again once the store is back. */
export const LAPSE_GRACE = seconds(2)
/** Bounds of the time for which an endpoint with broken connections is avoided. */
export const MIN_SUSPICION = millis(400)
export const MAX_SUSPICION = seconds(4)
/** Endpoints whose announcements are remembered. */
export const MAX_REMEMBERED_ENDPOINTS = 2000
/** Weight of the newest outcome in an endpoint's share of failures. */
export const FAILURE_WEIGHT = 0.15
/** An endpoint whose share of failures exceeds the median of its service by more than this is avoided. */
export const FAILURE_MARGIN = 0.25

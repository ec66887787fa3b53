import { MILLIS_PER_DAY, MILLIS_PER_MINUTE, millis, seconds } from '@papayahill/common'

/** Time from the start of the claim's write within which the request may be sent. */
export const DISPATCH_LEASE = seconds(5)
/** A gap between two clock checks longer than this counts as a pause of the process. */
export const PAUSE_LIMIT = millis(250)
export const PAUSE_TICK = millis(100)
/** How long after a pause no request is claimed. */
export const PAUSE_BACKOFF = millis(500)
/** A release that takes the store longer than this is not reported as "not run". */
export const MAX_RELEASE_TIME = millis(250)
/** Largest wall clock difference between two instances for which "not run" stays true despite races. */
export const MAX_WALL_CLOCK_SKEW = millis(500)
/** Maximum number of recorded arrivals that have not begun. */
export const MAX_ARRIVALS = 8192
/** Age of a claim from which "not run", by look-up or by an operator, is accepted as final. */
export const NOT_RUN_FINAL_AFTER = millis(2 * MILLIS_PER_MINUTE)
/** How long outcomes are kept; a key reused after that may run again. */
export const CLAIM_RETENTION = millis(MILLIS_PER_DAY)
/** Attempts to settle a claim before the caller is told to retry later. */
export const MAX_CLAIM_TRIES = 6
/** How long writes are collected for one transaction, and their maximum number. */
export const BATCH_WINDOW = millis(2)
export const MAX_BATCH = 48
/** Maximum number of rows in one read. */
export const MAX_READ = 128
/** Maximum number of concurrent transactions. */
export const MAX_COMMITS = 2
/** Maximum time an owner waits for its outcome on behalf of a caller at another instance. */
export const MAX_JOIN_WAIT = seconds(30)
/** Added to that wait for the round trip to the owner. */
export const JOIN_MARGIN = millis(250)
/** Maximum wait for a peer's answer about a backup copy. */
export const ASK_TIMEOUT = millis(300)
/** Maximum number of callers waiting for one key. */
export const MAX_WAITERS = 64
/** Time to wait for the store before an outcome is also backed up to peers. */
export const BACKUP_AFTER = millis(150)
/** Delay before the next backup round if too few peers have a copy. */
export const BACKUP_RETRY_DELAY = millis(500)
/** Number of peers that back up an outcome until it is written. */
export const BACKUP_COPIES = 2
/** Maximum number of peers asked for a backup copy. */
export const MAX_ASKED_PEERS = 16
/** Maximum wait for a claim to be marked as unknown, and for outcomes to be written in a drain. */
export const MAX_FINISH_WAIT = seconds(1)
/** Maximum number of outcomes that one instance backs up for others. */
export const MAX_BACKUPS = 4096
/** Bounds of the delay between two attempts to write a pending outcome. */
export const MIN_RETRY_DELAY = millis(100)
export const MAX_RETRY_DELAY = seconds(2)
/** Retry delays suggested to callers. */
export const SHORT_RETRY_AFTER = millis(500)
export const LONG_RETRY_AFTER = seconds(2)
/** Interval between pruning passes, and the bounds of one pass: rows per page and pages. */
export const PRUNE_PERIOD = millis(MILLIS_PER_MINUTE)
export const PRUNE_PAGE = 16
export const PRUNE_PAGES = 8
/** Maximum number of unknown claims listed for operators. */
export const MAX_LISTED = 500
/** Maximum number of ended incarnations whose open claims are listed with them. */
export const MAX_INCARNATIONS_LISTED = 16

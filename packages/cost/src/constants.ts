import { millis, MILLIS_PER_HOUR, MILLIS_PER_MINUTE, seconds } from '@papayahill/common'

/** How often metered work is written to the table service. */
export const FLUSH_PERIOD = seconds(5)
/**
 * Longest delay before metered work is sent to the backup peers. Work metered within this delay plus the
 * network latency is lost if the instance crashes; the sum must stay below 100 ms. With a delay of 80 ms, the overhead
 * of a frame and its reply took an instance with 12,000 workspaces to 3,194 B/s (extrapolated) of a budget of 3,072 B/s.
 */
export const BACKUP_DELAY = millis(94)
/** Number of peers that keep a backup of an instance's unrecorded work. */
export const BACKUP_PEER_COUNT = 2
/** How long to wait for a peer to confirm a backup. */
export const BACKUP_TIMEOUT = seconds(1)
/** Entries in a backup session above which a new session starts. */
export const MAX_SESSION_ENTRIES = 4096
/** Reply of a backup peer: all lines of the frame are stored. */
export const BACKUP_STORED = 1
/** Reply of a backup peer: it lacks entries that the frame refers to. */
export const BACKUP_ENTRIES_MISSING = 0
/** How often to check for unrecorded work of instances that are gone. */
export const RECOVER_PERIOD = seconds(5)
/** How long an instance must be missing before a peer records its work. */
export const RECOVER_AFTER = seconds(10)
/** How much longer all peers but the first in rank wait before they record it. */
export const RECOVER_STAGGER = seconds(10)
/** Lines in one row of the ledger. */
export const CHUNK_LINES = 256
/** Number of lines above which recorded chunks are dropped from memory. */
export const MAX_LINES = 20_000
/** Rows read in one scan. */
export const SCAN_LIMIT = 500

/** How often budgets are compared with the spend. */
export const BUDGET_PERIOD = seconds(10)
/** Past days that the typical spend is computed from. */
export const HISTORY_DAYS = 14
/** Span over which the present rate of spend is measured. */
export const RECENT_SPAN = millis(40 * MILLIS_PER_MINUTE)
/** Shortest time between two samples that are kept. */
export const SAMPLE_PERIOD = millis(MILLIS_PER_MINUTE)
/** A forecast must exceed the limit for this long before it is reported. */
export const FORECAST_MIN_DURATION = millis(30 * MILLIS_PER_MINUTE)
/** A forecast that the limit is exceeded sooner than this is reported once it has lasted for one sample period. */
export const NEAR_FORECAST_SPAN = millis(2 * MILLIS_PER_HOUR)
/** Repeatable classes with a longer deadline and no first-chunk target can be deferred. */
export const DEFERRABLE_DEADLINE = seconds(4)
/** Week-over-week growth below which later days are not forecast. */
export const MIN_GROWTH = 1.1
/** How many days ahead a daily budget is compared with steady growth. */
export const GROWTH_FORECAST_DAYS = 3
/** Share of the limit by which a forecast must exceed it; smaller excesses are within the normal variation between days. */
export const FORECAST_MARGIN = 0.03

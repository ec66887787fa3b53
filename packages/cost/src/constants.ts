import { millis, MILLIS_PER_HOUR, MILLIS_PER_MINUTE, seconds } from '@papayahill/common'

/** How often metered work is recorded in the table service. */
export const FLUSH_PERIOD = seconds(5)
/**
 * How soon metered work is shown to the peers that hold it. With the way there, it is what the death of an
 * instance can hide.
 */
export const SHOW_DELAY = millis(94)
/** Peers that hold an instance's unrecorded work. */
export const HOLDER_COUNT = 2
/** How long a peer may take to say that it holds work. */
export const HOLD_TIMEOUT = seconds(1)
/** Names in a session with a holder above which a new one begins. */
export const MAX_HOLD_NAMES = 4096
/** A holder's answer: it holds all lines of the frame. */
export const HELD = 1
/** A holder's answer: it lacks names that the frame refers to. */
export const UNKNOWN = 0
/** How often the work of instances that are gone is looked for. */
export const RECOVER_PERIOD = seconds(5)
/** How long an instance must be missing before a peer records its work. */
export const RECOVER_AFTER = seconds(10)
/** How long each peer waits for the one before it to do so. */
export const RECOVER_TURN = seconds(10)
/** Lines in one row of the ledger. */
export const CHUNK_LINES = 256
/** Lines above which recorded chunks are dropped from memory. */
export const MAX_LINES = 20_000
/** Rows read at once. */
export const SCAN_LIMIT = 500

/** How often budgets are compared with what was spent. */
export const BUDGET_PERIOD = seconds(10)
/** Days of the past that usual spend is taken from. */
export const HISTORY_DAYS = 14
/** Spend of this last span tells the present rate. */
export const RECENT_SPAN = millis(40 * MILLIS_PER_MINUTE)
/** Shortest time between two observations that are kept. */
export const SAMPLE_PERIOD = millis(MILLIS_PER_MINUTE)
/** A forecast must have been above the limit for this long before it is told. */
export const PATIENCE = millis(30 * MILLIS_PER_MINUTE)
/** Nearer than this, a forecast is told at once. */
export const NEAR_SPAN = millis(2 * MILLIS_PER_HOUR)
/** Classes with a longer deadline, no target for a first chunk and repeatable requests can wait. */
export const WAITING_DEADLINE = seconds(4)
/** Growth from week to week below which days ahead are not forecast. */
export const MIN_GROWTH = 1.1
/** How many days ahead a day budget is compared with steady growth. */
export const DAYS_AHEAD = 3
/** Part of a budget by which a forecast must pass it: nearer to it, the usual spread of days decides. */
export const FORECAST_MARGIN = 0.03

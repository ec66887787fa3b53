import { millis, MILLIS_PER_HOUR, MILLIS_PER_MINUTE, seconds } from '@papayahill/common'

/** Crashes that put a part under quarantine on which no answer has begun. */
export const MIN_CRASHES = 3
/** Crashes that do so however many others there are that the part does not explain. */
export const MAX_CRASHES = 5
/** Crashes after which a suspected whole request goes to an endpoint of its own; until then most are bystanders. */
export const MIN_ISOLATED_CRASHES = 2
/** Crashes within this time of each other have a common cause, such as a failure domain that is lost, and count once. */
export const SIMULTANEOUS = millis(50)
/** Crashes that a part does not explain count against its guilt if they lie this close to those that it would explain. */
export const STORM_SPAN = seconds(10)
/** Time after which a crash is no evidence any more. */
export const EVIDENCE_TTL = millis(30 * MILLIS_PER_MINUTE)
/** Time after the last crash until one request may try a quarantined part again; doubles with each trial that fails. */
export const FIRST_LAPSE = seconds(60)
export const MAX_LAPSE = millis(MILLIS_PER_HOUR)
/** Time for which lost calls wait for a sign that their endpoint has crashed. */
export const CONFIRMATION_TIMEOUT = seconds(20)
/** Bounds of what is remembered. */
export const MAX_SCOPES = 64
export const MAX_REMEMBERED_CRASHES = 128
export const MAX_QUARANTINES = 256
export const MAX_BEGUN_PARTS = 8192
export const MAX_ENDED_REQUESTS = 4096
export const MAX_PENDING_CRASHES = 256
export const MAX_UNTOLD_LOSSES = 512
/** Bounds of one crash report. */
export const MAX_REPORTED_REQUESTS = 32
export const MAX_REPORTED_PARTS = 8
/** Ids of parts that are longer than this are replaced by their hash. */
export const MAX_PART_LENGTH = 40
/** Longer names of models are replaced by their hashes in scopes. */
export const MAX_MODEL_LENGTH = 128
/** Keys under which an instance publishes its latest crash reports, cleared parts and quarantines. */
export const CRASH_KEYS = 8
export const BEGUN_KEYS = 4
export const QUARANTINE_KEYS = 32
/**
 * Longest times until an instance tells others of a crash, and that answers have begun on a suspected part, for each instance
 * of the fleet and in all: the first one that does so spares the others.
 */
export const REPORT_SPREAD_PER_INSTANCE = millis(0.5)
export const MAX_REPORT_SPREAD = millis(40)
export const REPLY_SPREAD_PER_INSTANCE = millis(1)
export const MAX_REPLY_SPREAD = millis(150)
/** Time until an instance publishes a quarantine that the one chosen to do so has not published. */
export const PUBLISH_FALLBACK = millis(500)

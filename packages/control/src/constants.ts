import { seconds, millis } from '@papayahill/common'

/** Maximum age of the roster copy at which a slot at a cold endpoint may be used. */
export const ROSTER_MAX_AGE = seconds(2)
/** Period at which the roster copy is confirmed. */
export const ROSTER_PERIOD = millis(500)
/** Maximum age of a relayed confirmation; an older one is replaced by a read of the store. */
export const ROSTER_RELAY_MAX_AGE = seconds(1)
/**
 * Number of members from which on a cluster is large: roster confirmations are relayed between peers to save reads, and
 * versions in force are published with a delay.
 */
export const RELAY_MIN_MEMBERS = 16
/** Time that a member is missing from the live peers before it is marked as suspected in the roster record. */
export const SUSPECT_AFTER = seconds(3)
/** Time a suspected member has to clear the mark before it is removed. */
export const REMOVE_AFTER = seconds(3)
/** Minimum time between two suspicions of the same member by one instance. */
export const SUSPECT_AGAIN_AFTER = seconds(30)
/** Retention of a departed incarnation in the record. */
export const DEPARTED_RETENTION = seconds(3600)
/** Attempts of one conditional update before it is left to the next period. */
export const MAX_UPDATE_TRIES = 8
/** Timeout of a request to a peer about the roster or configuration. */
export const ASK_TIMEOUT = millis(400)

/** Minimum period at which the head of the configuration log is read. */
export const CONFIG_PERIOD = millis(900)
/** Milliseconds of the poll period per member, which bounds the total poll rate of a large cluster. */
export const POLL_MILLIS_PER_MEMBER = 5
/** Newest changes that each instance keeps to repair a store that was restored to an older state. */
export const MAX_LOG_CHANGES = 4096
/** Versions between two snapshots in the object store. */
export const SNAPSHOT_INTERVAL = 128
/** Maximum number of change rows in one read or one transaction. */
export const MAX_ROWS_PER_CALL = 64
/** Max wait for recording an operator's domain-out before it is reported as not yet recorded. */
export const LATCH_RECORD_WAIT = seconds(1)
/** Changes in one gossip entry; an instance that is further behind requests the rest. */
export const TAIL_CHANGES = 4
/** Recorded latches to remember, so that a delayed copy of one is not applied again. */
export const MAX_RECORDED_LATCHES = 256
/** Time that a starting instance looks for peers before it relies on the store alone. */
export const START_GRACE = millis(1500)
/** Max wait of a starting instance for the store if a peer has answered. */
export const START_STORE_WAIT = millis(500)
/** Delay between two attempts to start. */
export const START_RETRY = millis(300)
/** Peers that must confirm an accepted change before the operator gets the answer, if there are that many. */
export const MIN_REPLICAS = 2
/** Max wait for these peers. */
export const REPLICATION_TIMEOUT = millis(500)
/** Minimum delay before an instance of a large cluster publishes its version in force; the maximum is twice this. */
export const IN_FORCE_DELAY = seconds(15)
/** Period at which an instance that waits for a version asks those that appear behind, and how many it asks at once. */
export const IN_FORCE_ASK_PERIOD = millis(500)
export const IN_FORCE_MAX_ASKED = 64
/** Maximum number of peers to ask for their newest version. */
export const MAX_ASKED_PEERS = 16

/** Table reads and writes per second of all instances together. */
export const READS_PER_SECOND = 1000
export const WRITES_PER_SECOND = 200
/** Minimum share of one instance, regardless of their number. */
export const MIN_READS_PER_SECOND = 3
export const MIN_WRITES_PER_SECOND = 0.5
/** Calls that one instance may make in a burst after an idle period. */
export const READ_BURST = 100
export const WRITE_BURST = 20
/** Max wait of a call for budget. */
export const MAX_BUDGET_WAIT = millis(500)
/** Consecutive failures after which calls are rejected without trying. */
export const OUTAGE_AFTER = 3
export const MIN_BACKOFF = millis(100)
export const MAX_BACKOFF = seconds(2)

import { seconds, millis } from '@papayahill/common'

/** Oldest copy of the roster on which a slot at a cold endpoint may be used. */
export const ROSTER_MAX_AGE = seconds(2)
/** How often the copy of the roster is confirmed. */
export const ROSTER_PERIOD = millis(500)
/** A relayed confirmation older than this is replaced by a read of the store. */
export const ROSTER_RELAY_MAX_AGE = seconds(1)
/** Members from which on confirmations are relayed between peers to save reads. */
export const RELAY_MIN_MEMBERS = 16
/** Silence after which a member is suspected in the roster record. */
export const SUSPECT_AFTER = seconds(3)
/** Time a suspected member has to clear the mark before it is removed. */
export const REMOVE_AFTER = seconds(3)
/** Pause after a member cleared its mark until the same instance suspects it again. */
export const SUSPECT_AGAIN_AFTER = seconds(30)
/** How long a departed life stays in the record. */
export const DEPARTED_RETENTION = seconds(3600)
/** Tries of one conditional update before it is left to the next period. */
export const MAX_UPDATE_TRIES = 8
/** Limit for a peer's answer to a question about roster or configuration. */
export const ASK_TIMEOUT = millis(400)

/** How often the head of the configuration log is read. */
export const CONFIG_PERIOD = millis(900)
/** Members for each further millisecond of the poll period, so that polls stay bounded at size. */
export const POLL_MILLIS_PER_MEMBER = 5
/** Newest changes that each instance keeps, to repair a store restored to an older state. */
export const MAX_LOG_CHANGES = 4096
/** Changes between two snapshots in the object store. */
export const SNAPSHOT_INTERVAL = 128
/** Most change rows in one read or one transaction. */
export const MAX_ROWS_PER_CALL = 64
/** How long an operator's domain-out waits for being recorded before it is reported as not yet recorded. */
export const LATCH_RECORD_WAIT = seconds(1)
/** Changes that travel in one gossip entry; who is further behind asks. */
export const TAIL_CHANGES = 4
/** Latches recorded in the log that are remembered, so that a late one is not applied again. */
export const MAX_RECORDED_LATCHES = 256
/** How long a starting instance looks for peers before it trusts the store alone. */
export const START_GRACE = millis(1500)
/** Wait of a starting instance for the store, where a peer has answered. */
export const START_STORE_WAIT = millis(500)
/** Pause between two tries to start. */
export const START_RETRY = millis(300)
/** Peers that must hold an accepted change before the operator is told, where there are as many. */
export const HOLDERS = 2
/** Longest wait for those peers. */
export const HOLD_TIMEOUT = millis(500)
/** Delay before many instances tell their version in force; the whole wait is up to twice as long. */
export const IN_FORCE_DELAY = seconds(15)
/** How often who waits for a version asks those that seem behind, and how many of them at once. */
export const IN_FORCE_ASK_PERIOD = millis(500)
export const IN_FORCE_ASKED = 64
/** Peers asked at most for their newest version. */
export const MAX_ASKED_PEERS = 16

/** Reads and writes of the table that all instances together may make in a second. */
export const READS_PER_SECOND = 1000
export const WRITES_PER_SECOND = 200
/** Least share of one instance, however many there are. */
export const MIN_READS_PER_SECOND = 3
export const MIN_WRITES_PER_SECOND = 0.5
/** Calls that one instance may make at once after a quiet time. */
export const READ_BURST = 100
export const WRITE_BURST = 20
/** Longest wait of a call for its turn within the budget. */
export const MAX_BUDGET_WAIT = millis(500)
/** Answers "unavailable" in a row after which calls are refused without trying. */
export const OUTAGE_AFTER = 3
export const MIN_BACKOFF = millis(100)
export const MAX_BACKOFF = seconds(2)

import { millis, seconds } from '@papayahill/common'

/** How long entries of a silent owner are kept and forwarded. */
export const GOSSIP_RETENTION = seconds(3600)
/** Interval between heartbeats on each link. */
export const HEARTBEAT_PERIOD = millis(500)
/** Interval at which an instance notes that it has read what had arrived. */
export const READ_PERIOD = millis(100)
/** Silence after which a peer is considered lost. */
export const HEARTBEAT_TIMEOUT = seconds(2)
/** Largest cluster, in instances, in which every instance keeps a link to every other. */
export const FULL_MESH_MEMBERS = 16
/** How long the computed member list is cached; computing it reads all entries. */
export const MEMBERS_CACHE_TTL = millis(100)
/** Minimum and maximum number of links that an instance keeps in a larger cluster. */
export const ACTIVE_LINKS = 5
export const MAX_ACTIVE_LINKS = 8
/** Heartbeat interval and link timeout in clusters without a full mesh. */
export const SPARSE_HEARTBEAT_PERIOD = seconds(1)
export const SPARSE_HEARTBEAT_TIMEOUT = seconds(4)
/** Links over which an entry of a non-urgent topic is forwarded in clusters without a full mesh. */
export const FAN_OUT = 2
/** Interval at which queued entries are sent, several per frame. */
export const GOSSIP_PERIOD = millis(100)
/**
 * Bytes per second for entries of non-urgent topics, with and without a full mesh, and the largest burst. They keep the
 * traffic of an instance with its peers within 3 KB/s.
 */
export const GOSSIP_BYTES_PER_SECOND = 1200
export const SPARSE_GOSSIP_BYTES_PER_SECOND = 450
export const GOSSIP_BURST_BYTES = 16_384
/** Shortest interval at which an instance outbids entries of a predecessor under its id. */
export const OUTBID_PERIOD = seconds(1)
/** Interval at which the store is compared with that of one random peer. */
export const COMPARE_PERIOD = seconds(10)
/** Number of buckets that entries are hashed into for comparison. */
export const COMPARE_BUCKETS = 64
/** Maximum number of differing buckets handled in one comparison. */
export const MAX_COMPARED_BUCKETS = 8
/** Intervals at which the instance list is read and links are checked. */
export const LIST_PERIOD = seconds(2)
export const LINK_PERIOD = millis(500)
/** Idle time after which a link opened for messages only is closed. */
export const IDLE_LINK_TIMEOUT = seconds(30)
/** Age from which a link counts as surplus; its peer has told by then what it is used for. */
export const LINK_SETTLE_TIME = seconds(2)
/** Bounds of the delay before an unreachable peer is dialled again. */
export const MIN_REDIAL_DELAY = millis(200)
export const MAX_REDIAL_DELAY = seconds(5)
/** Largest frame in bytes. */
export const MAX_FRAME_BYTES = 262_144
/** Send buffer of a link, in bytes with the cost of its frames, beyond which frames on it are dropped. */
export const MAX_BUFFERED_BYTES = 4_194_304
/** Timeout for opening and authenticating a link. */
export const HANDSHAKE_TIMEOUT = seconds(2)
/** Largest head of a request to open a link, and period of checking for connections that do not send one in time. */
export const MAX_UPGRADE_BYTES = 8192
export const UPGRADE_CHECK_PERIOD = millis(500)
/** Bytes that may arrive on a connection until it is authenticated: the handshake, and what one read may hold of the frames behind it. */
export const MAX_HANDSHAKE_BYTES = 98_304
/** Accepted connections, unless the options name another maximum; more than all instances of the largest deployment open. */
export const MAX_ACCEPTED_SOCKETS = 1024
/** Time of failed dials after which a known peer no longer counts towards the cluster size, and after which it is forgotten. */
export const UNREACHABLE_AFTER = seconds(60)
export const FORGET_PEER_AFTER = seconds(600)
/** Maximum number of known peers. */
export const MAX_KNOWN_PEERS = 1024

import { millis, seconds } from '@papayahill/common'

/** How long entries of a silent owner are kept and passed on. */
export const GOSSIP_RETENTION = seconds(3600)
/** How often each link carries a heartbeat. */
export const HEARTBEAT_PERIOD = millis(500)
/** Silence after which a peer counts as lost. */
export const HEARTBEAT_TIMEOUT = seconds(2)
/** Members up to which every instance keeps a link to every other. */
export const FULL_MESH_MEMBERS = 16
/** Time for which the list of members is used again; it is made from all entries. */
export const MEMBERS_LIFE = millis(100)
/** Links that an instance keeps above that size, and the most it accepts. */
export const ACTIVE_LINKS = 5
export const MAX_ACTIVE_LINKS = 8
/** Heartbeat period above the full mesh, and the silence that loses a link there. */
export const SPARSE_HEARTBEAT_PERIOD = seconds(1)
export const SPARSE_HEARTBEAT_TIMEOUT = seconds(4)
/** Links over which one entry of a topic that can wait is passed on, above the full mesh. */
export const FAN_OUT = 2
/** How often entries that wait are sent, several in one frame. */
export const GOSSIP_PERIOD = millis(100)
/** Bytes a second for entries of topics that can wait, and the most in one burst. */
export const GOSSIP_BYTES_PER_SECOND = 1200
export const SPARSE_GOSSIP_BYTES_PER_SECOND = 450
export const GOSSIP_BURST_BYTES = 16_384
/** How often one peer's entries are compared with the own ones. */
export const COMPARE_PERIOD = seconds(10)
/** Parts into which all entries are split for comparing. */
export const COMPARE_BUCKETS = 64
/** Parts that one comparison goes into. */
export const MAX_COMPARED_BUCKETS = 8
/** How often the instance list is read and links are looked after. */
export const LIST_PERIOD = seconds(2)
export const LINK_PERIOD = millis(500)
/** Time after which a link that was opened for one question is closed when idle. */
export const IDLE_LINK_TIMEOUT = seconds(30)
/** Bounds of the wait before a peer that could not be reached is dialled again. */
export const MIN_REDIAL = millis(200)
export const MAX_REDIAL = seconds(5)
/** Largest frame in bytes. */
export const MAX_FRAME_BYTES = 262_144
/** Bytes that may wait on one link before messages on it are dropped. */
export const MAX_WAITING_BYTES = 4_194_304
/** Limit for opening a link and proving the secret. */
export const HANDSHAKE_TIMEOUT = seconds(2)
/** Time without a single link after which a known peer no longer counts for the size of the mesh, and is forgotten. */
export const UNCOUNTED_AFTER = seconds(60)
export const FORGOTTEN_AFTER = seconds(600)
/** Peers not in the list that are remembered at most. */
export const MAX_KNOWN_PEERS = 1024

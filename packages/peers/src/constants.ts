import { seconds } from '@papayahill/common'

/** How long entries of a silent owner are kept and passed on. */
export const GOSSIP_RETENTION = seconds(3600)

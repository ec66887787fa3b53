import { seconds } from '@papayahill/common'

/** Longest time after which new work may still start at a leaving endpoint or in a domain that is out. */
export const OUT_MAX_DELAY = seconds(3)
/** Longest time after sufficient evidence in which a bad version may still get new work. */
export const BAD_VERSION_MAX_DELAY = seconds(2)
/** Longest time until an accepted configuration is in force on every instance. */
export const CONFIG_MAX_DELAY = seconds(8)

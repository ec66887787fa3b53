import { seconds } from '@papayahill/common'

/** Time within which new work may still start at a leaving endpoint or in a domain that is out. */
export const OUT_MAX_DELAY = seconds(3)
/** Time after sufficient evidence within which a bad version may still get new work. */
export const BAD_VERSION_MAX_DELAY = seconds(2)
/** Time within which an accepted configuration must be in force on every instance. */
export const CONFIG_MAX_DELAY = seconds(8)

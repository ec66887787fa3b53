import { millis } from '@papayahill/common'

/** Endpoints of one service that are probed at once. */
export const MAX_PROBED_PER_SERVICE = 6
/** Probes of this instance that are open at a time. */
export const MAX_OPEN_PROBES = 12
/** Period of the probes of what is not reached. */
export const PROBE_PERIOD = millis(500)
/** Lost endpoints that are probed in each period while other endpoints are reached. */
export const PROBED_LOST = 4
/** Least time between two probes of one endpoint that nothing but its bytes asks for. */
export const MIN_PROBE_SPACING = millis(200)
/** A probe that takes longer than this was held up by this process, and shows nothing. */
export const MAX_PROBE_TIME = millis(750)
/** A call's silence says nothing about a path on which bytes of other calls arrived within this time. */
export const RECENT_CONTACT = millis(250)
/** Time after a connection has opened in which a call's silence does not have it probed again. */
export const MIN_SILENCE_SPACING = millis(500)
/** Age up to which bytes show that this instance is not cut off. */
export const JUST_NOW = millis(100)
/** An endpoint that accepts connections and sends nothing for this long has failed; a sound one may be silent for a second or so. */
export const MAX_SOUND_SILENCE = millis(2000)
/** Time for which it stays open whether a lost call shows anything about its endpoint. */
export const MAX_JUDGE_TIME = millis(600)
/** Other endpoints that are probed when a call is lost. */
export const PROBED_AT_LOSS = 2
/** Losses held back at a time; the oldest goes for a new one. */
export const MAX_HELD_LOSSES = 64
/** Bytes that come sooner after a loss may have been on their way when a cut began. */
export const MIN_HELD_TIME = millis(5)
/** Time after a heal in which calls may still end that were lost before. */
export const HEAL_GRACE = millis(500)
/** Services that an instance tells its peers of. */
export const MAX_TOLD_SERVICES = 32
/** Least time between two messages to the peers. */
export const MIN_TELL_PERIOD = millis(250)

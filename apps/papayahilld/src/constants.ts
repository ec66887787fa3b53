import { seconds } from '@papayahill/common'

/** How long the callers' listener goes on after the health check began to fail. */
export const LISTENER_LINGER = seconds(2)
/** A third signal within this time after the second cuts what runs. */
export const CUT_CONFIRM_WINDOW = seconds(10)

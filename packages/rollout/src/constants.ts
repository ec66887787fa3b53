import { millis, seconds } from '@papayahill/common'

/** How often evidence is judged. */
export const JUDGE_PERIOD = millis(250)
/** Shortest time between two publications of an instance's evidence. */
export const PUBLISH_PERIOD = millis(500)
/** How often the recorded state of moves is read while one is open. */
export const POLL_PERIOD = seconds(5)

import { millis, seconds } from '@papayahill/common'

export const DEFAULT_OPERATORS = 'http://127.0.0.1:8081'
/** Timeout of a request to an instance. */
export const ANSWER_TIMEOUT = seconds(10)
/** Polling period of `--wait`. */
export const WAIT_POLL = millis(200)
/** Default of `--wait-limit`. */
export const WAIT_LIMIT_SECONDS = 30
/** Default polling period of `watch`. */
export const WATCH_PERIOD_SECONDS = 2

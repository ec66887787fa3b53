import { millis, seconds } from '@papayahill/common'

export const DEFAULT_OPERATORS = 'http://127.0.0.1:8081'
/** Longest wait for an instance's answer. */
export const ANSWER_TIMEOUT = seconds(10)
/** How often `--wait` asks whether a version is in force. */
export const WAIT_POLL = millis(200)
/** Seconds that `--wait` waits unless told otherwise. */
export const WAIT_LIMIT_SECONDS = 30
/** Seconds between two looks of `watch`. */
export const WATCH_PERIOD_SECONDS = 2

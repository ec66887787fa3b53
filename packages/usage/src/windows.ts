import { epochMillis } from '@papayahill/common'
import type { EpochMillis, Millis } from '@papayahill/common'

/** The window that a time lies in. */
export const windowAt = (time: EpochMillis, length: Millis): number => Math.floor(time / length)

export const windowEnd = (window: number, length: Millis): EpochMillis => epochMillis((window + 1) * length)

import type { EpochMillis, Millis } from '@papayahill/common'
import { AWAITED_SHARE, LAST_MOMENT, MAX_COMMITTED_REPORTS, TAKEOVER_GRACE } from './constants.js'
import { windowEnd } from './windows.js'

export interface WriteState {
  readonly now: EpochMillis
  /** Length of a window, and the time after its end at which its report is due. */
  readonly length: Millis
  readonly late: Millis
  /** Time since this instance took over. */
  readonly heldFor: Millis
  /** The first window without a written report. */
  readonly first: number
  /** Whether all live instances have reported beyond a window's end. */
  isComplete (window: number): boolean
  /** Whether an instance that reported lately, and is not known to live, may still report what it counted in a window. */
  isAwaited (window: number): boolean
}

const isDue = ({ now, length, late, heldFor, isComplete, isAwaited }: WriteState, window: number): boolean => {
  const end = windowEnd(window, length)
  if (now < end) return false
  if (now >= end + late - LAST_MOMENT) return true
  if (isComplete(window) && (now >= end + late * AWAITED_SHARE || !isAwaited(window))) return true
  return now >= end + late / 2 && heldFor >= TAKEOVER_GRACE
}

/**
 * The windows whose reports are to be written now, without a gap. A window waits for all live instances, but for no longer than
 * half of the time within which its report is due. It waits for instances that fell silent for a quarter of that time: most are
 * dead, but one that was cut off for a moment still has its counts. A new holder waits until instances have had time to report to it.
 */
export const windowsToWrite = (state: WriteState): readonly number[] => {
  const windows: number[] = []
  for (let window = state.first; windows.length < MAX_COMMITTED_REPORTS && isDue(state, window); window++) windows.push(window)
  return windows
}

import type { Clock } from './Clock.js'
import { millis } from './units.js'
import type { Millis } from './units.js'

const CHECK_PERIOD = millis(5)

/**
 * Resolves once `isDone` holds, or after `maxWait`; true if it holds.
 *
 * @example
 * await waitUntil(clock, () => writer.bufferedBytes === 0, millis(300))
 */
export const waitUntil = async (clock: Clock, isDone: () => boolean, maxWait: Millis): Promise<boolean> => {
  const latest = clock.now() + maxWait
  while (!isDone() && clock.now() < latest) await clock.sleep(CHECK_PERIOD)
  return isDone()
}

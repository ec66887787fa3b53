import { afterEach, describe, expect, it, vi } from 'vitest'
import { millis } from './units.js'
import { SystemClock } from './SystemClock.js'

const LONG_DELAYS = [2 ** 31, 1e308, Infinity].map(millis)
const WAIT = 100

describe('SystemClock', () => {
  afterEach(() => { vi.useRealTimers() })

  // Guards against timers that fire at once and then without end, and against calls that are given up before they are sent.
  describe.each(LONG_DELAYS)('with a delay of %d ms, which is longer than the system\'s timers take', (delay) => {
    it.each([
      ['after', (clock: SystemClock, fire: () => void): unknown => clock.after(delay, fire)],
      ['every', (clock: SystemClock, fire: () => void): unknown => clock.every(delay, fire)],
      ['sleep', (clock: SystemClock, fire: () => void): unknown => clock.sleep(delay).then(fire)]
    ])('waits in %s', async (_name, start) => {
      vi.useFakeTimers()
      let fired = 0
      start(new SystemClock(), () => { fired++ })
      await vi.advanceTimersByTimeAsync(WAIT)
      expect(fired).toBe(0)
    })
  })
})

import { describe, expect, it } from 'vitest'
import { afterArrivals } from './afterArrivals.js'
import { millis } from './units.js'
import { VirtualClock } from './VirtualClock.js'

const SPAN = millis(100)

/** A timer in a process that is late by a time: what has arrived is read that long after the timer is due. */
const setUp = (late: number) => {
  const clock = new VirtualClock()
  const calls: number[] = []
  const arrivals = { catchUp: () => clock.sleep(millis(late)) }
  const timer = afterArrivals(clock, arrivals, SPAN, () => { calls.push(clock.now()) })
  return { clock, calls, timer }
}

describe('afterArrivals', () => {
  it('calls back once, after what has arrived is read', async () => {
    const { clock, calls } = setUp(30)
    await clock.advance(millis(1000))
    expect(calls).toEqual([130])
  })

  // Guards against an answer that had arrived, but was not read, when its timer was late.
  it.each([50, 110])('does not call back if it is cancelled before, after %i ms', async (at) => {
    const { clock, calls, timer } = setUp(30)
    clock.after(millis(at), () => timer.cancel())
    await clock.advance(millis(1000))
    expect(calls).toEqual([])
  })
})

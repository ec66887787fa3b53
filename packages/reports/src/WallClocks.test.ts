import { brand, epochMillis, seconds, VirtualClock } from '@papayahill/common'
import type { Incarnation } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { WallClocks } from './WallClocks.js'

const idOf = (name: string): Incarnation => brand<Incarnation>(name)

const clocksOf = (clock: VirtualClock, instances: number): WallClocks => new WallClocks(clock, idOf('self'), () => instances)

const report = (clock: VirtualClock, clocks: WallClocks, skews: Readonly<Record<string, number>>): void => {
  for (const [name, skew] of Object.entries(skews)) clocks.note(idOf(name), epochMillis(clock.wall() + skew))
}

describe('WallClocks', () => {
  it('tells how far a clock is ahead of the median, which a few wrong clocks do not move', () => {
    const clock = new VirtualClock()
    const clocks = clocksOf(clock, 5)
    report(clock, clocks, { a: 5, b: -10, c: 60_000, d: 0 })
    expect(clocks.aheadOfMedian(idOf('c'))).toBe(60_000)
    expect(clocks.aheadOfMedian(idOf('b'))).toBe(-10)
  })

  it('knows no median from two clocks, or before half of the instances have reported', () => {
    const clock = new VirtualClock()
    const two = clocksOf(clock, 2)
    report(clock, two, { a: 0 })
    expect(two.aheadOfMedian(idOf('a'))).toBeUndefined()
    const many = clocksOf(clock, 60)
    report(clock, many, { a: 0, b: 0, c: 0, d: 3000 })
    expect(many.aheadOfMedian(idOf('a'))).toBeUndefined()
  })

  it('leaves out clocks that jumped, so that jumping clocks and wrong ones are no majority together', async () => {
    const clock = new VirtualClock()
    const clocks = clocksOf(clock, 6)
    report(clock, clocks, { a: 3200, b: -2700, c: 0, d: 0, e: 0 })
    await clock.advance(seconds(1))
    report(clock, clocks, { a: 3200, b: -2700, c: 4100, d: 4100, e: 0 })
    expect(clocks.aheadOfMedian(idOf('e'))).toBeLessThanOrEqual(0)
    expect(Math.abs(clocks.aheadOfMedian(idOf('e'))!)).toBeLessThan(1)
    expect(clocks.aheadOfMedian(idOf('c'))).toBeCloseTo(4100)
  })

  it('forgets instances that no longer report', async () => {
    const clock = new VirtualClock()
    const clocks = clocksOf(clock, 3)
    report(clock, clocks, { a: 0, b: 0, c: 0 })
    expect(clocks.aheadOfMedian(idOf('a'))).toBe(0)
    await clock.advance(seconds(20))
    report(clock, clocks, { a: 0 })
    expect(clocks.aheadOfMedian(idOf('a'))).toBeUndefined()
  })
})

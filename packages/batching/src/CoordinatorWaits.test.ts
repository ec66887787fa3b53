import { brand, millis, VirtualClock } from '@papayahill/common'
import type { InstanceId } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { CoordinatorWaits } from './CoordinatorWaits.js'

const COORDINATOR = brand<InstanceId>('a')

const newWaits = (): { readonly clock: VirtualClock, readonly waits: CoordinatorWaits } => {
  const clock = new VirtualClock()
  return { clock, waits: new CoordinatorWaits(clock) }
}

describe('CoordinatorWaits', () => {
  it('expects the wait of the latest order for a while after it was accepted', async () => {
    const { clock, waits } = newWaits()
    const offered = waits.begin(COORDINATOR)
    await clock.advance(millis(300))
    expect(waits.accepted(offered)).toBe(300)
    waits.end(offered)
    await clock.advance(millis(500))
    expect([waits.of(COORDINATOR), waits.longest]).toEqual([300, 300])
    await clock.advance(millis(1000))
    expect(waits.of(COORDINATOR)).toBe(0)
  })

  // Guards against a coordinator that seems to be on time because it is too late to answer.
  it('grows for as long as an order is not answered', async () => {
    const { clock, waits } = newWaits()
    const first = waits.begin(COORDINATOR)
    await clock.advance(millis(2000))
    const second = waits.begin(COORDINATOR)
    await clock.advance(millis(500))
    expect(waits.of(COORDINATOR)).toBe(2500)
    waits.end(first)
    expect(waits.of(COORDINATOR)).toBe(500)
    waits.end(second)
    expect(waits.longest).toBe(0)
  })
})

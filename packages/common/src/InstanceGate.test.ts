import { describe, expect, it } from 'vitest'
import { GatedClock } from './GatedClock.js'
import { InstanceGate } from './InstanceGate.js'
import { millis } from './units.js'
import { VirtualClock } from './VirtualClock.js'

describe('InstanceGate', () => {
  const start = (): { clock: VirtualClock, gate: InstanceGate, gated: GatedClock, fired: string[] } => {
    const clock = new VirtualClock()
    const gate = new InstanceGate()
    return { clock, gate, gated: new GatedClock(clock, gate), fired: [] }
  }

  it('delays timers while paused and fires them on resume', async () => {
    const { clock, gate, gated, fired } = start()
    gated.after(millis(10), () => fired.push('timer'))
    gate.pause()
    await clock.advance(millis(20))
    expect(fired).toEqual([])
    gate.resume()
    expect(fired).toEqual(['timer'])
  })

  it('never settles a promise of a dead instance', async () => {
    const { clock, gate, gated, fired } = start()
    void gate.pass(gated.sleep(millis(5))).then(() => fired.push('awake'))
    gate.kill()
    await clock.advance(millis(20))
    expect(fired).toEqual([])
  })

  it('does not fire a timer that was cancelled during the pause', async () => {
    const { clock, gate, gated, fired } = start()
    const timer = gated.after(millis(10), () => fired.push('timer'))
    gate.pause()
    await clock.advance(millis(20))
    timer.cancel()
    gate.resume()
    expect(fired).toEqual([])
  })

  it('repeats a periodic timer until it is cancelled', async () => {
    const { clock, gated, fired } = start()
    const timer = gated.every(millis(10), () => fired.push('tick'))
    await clock.advance(millis(35))
    timer.cancel()
    await clock.advance(millis(35))
    expect(fired).toHaveLength(3)
  })
})

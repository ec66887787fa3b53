import { millis, VirtualClock } from '@papayahill/common'
import { beforeEach, describe, expect, it } from 'vitest'
import { SystemElapsedClock } from './ElapsedClock.js'
import { ElapsedTime } from './ElapsedTime.js'
import { SimulatedMachine } from './testing/SimulatedMachine.js'

const SPAN = millis(1000)
/** Resolution of the boot-time clock. */
const RESOLUTION = 10

describe('ElapsedTime', () => {
  let clock: VirtualClock
  let machine: SimulatedMachine
  let time: ElapsedTime

  beforeEach(() => {
    clock = new VirtualClock()
    machine = new SimulatedMachine(clock)
    time = new ElapsedTime(machine, machine)
  })

  it('counts a suspension, in which the steady clock stands still', async () => {
    const mark = time.mark()
    machine.freeze('suspended')
    await clock.advance(SPAN)
    machine.resume()
    expect(machine.now()).toBe(0)
    expect(time.since(mark)).toBeGreaterThanOrEqual(SPAN - RESOLUTION)
  })

  it('counts a jump of the wall clock forward, and ignores one back', async () => {
    const mark = time.mark()
    machine.jump(millis(-5000))
    expect(time.since(mark)).toBe(0)
    machine.jump(millis(2000))
    expect(time.since(mark)).toBe(2000)
  })

  it('does not let a jump back hide the time that passes after it', async () => {
    const withoutBoot = new ElapsedTime(machine, { boot: () => millis(0), wall: () => machine.wall() })
    const mark = withoutBoot.mark()
    machine.jump(millis(-60_000))
    withoutBoot.mark()
    machine.freeze('suspended')
    await clock.advance(SPAN)
    machine.resume()
    expect(withoutBoot.since(mark)).toBe(SPAN)
  })

  it('reads the boot-time clock of the machine in milliseconds', () => {
    const first = new SystemElapsedClock(clock).boot()
    expect(new SystemElapsedClock(clock).boot() - first).toBeLessThan(60_000)
    expect(first).toBeGreaterThan(RESOLUTION)
  })
})

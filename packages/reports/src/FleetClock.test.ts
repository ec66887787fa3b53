import { epochMillis, EventRecorder, millis, seconds, VirtualClock } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { FleetClock } from './FleetClock.js'

/** A wall clock that can be moved, and a machine that can be suspended. */
class Machine extends VirtualClock {
  jump = 0
  suspended = 0

  override wall () {
    return (super.wall() + this.jump + this.suspended) as ReturnType<VirtualClock['wall']>
  }

  uptime = () => millis(Math.floor((this.now() + this.suspended) / 10) * 10)
}

const errorOf = (machine: Machine, fleetClock: FleetClock): number => fleetClock.now() - (machine.wall() - machine.jump)

describe('FleetClock', () => {
  it('does not follow a wall clock that jumps and jumps back', async () => {
    const machine = new Machine()
    const fleetClock = new FleetClock({ clock: machine, uptime: machine.uptime })
    machine.jump = 4000
    await machine.advance(seconds(3))
    expect(errorOf(machine, fleetClock)).toBe(0)
    machine.jump = -9000
    await machine.advance(seconds(3))
    expect(errorOf(machine, fleetClock)).toBe(0)
  })

  it('goes on during a suspension, in which the monotonic clock stands still', async () => {
    const machine = new Machine()
    const fleetClock = new FleetClock({ clock: machine, uptime: machine.uptime })
    await machine.advance(millis(1234))
    machine.suspended = 7000
    expect(Math.abs(errorOf(machine, fleetClock))).toBeLessThanOrEqual(10)
    await machine.advance(seconds(5))
    expect(Math.abs(errorOf(machine, fleetClock))).toBeLessThanOrEqual(10)
  })

  it('does not take the steps of the boot-time clock for suspensions', async () => {
    const machine = new Machine()
    const fleetClock = new FleetClock({ clock: machine, uptime: machine.uptime })
    for (let at = 0; at < 100; at++) {
      await machine.advance(millis(7))
      expect(errorOf(machine, fleetClock)).toBe(0)
    }
  })

  it('is set to the median once, with a log line, and then corrected slowly and without running backwards', async () => {
    const machine = new Machine()
    const log = new EventRecorder(machine)
    machine.jump = 3000
    const fleetClock = new FleetClock({ clock: machine, log })
    expect(errorOf(machine, fleetClock)).toBe(3000)
    const median = (error: number) => epochMillis(fleetClock.now() - error)
    fleetClock.correct(fleetClock.elapsed(), median(3000))
    expect(errorOf(machine, fleetClock)).toBe(0)
    expect(log.records.map(({ kind }) => kind.name)).toEqual(['clockSet'])
    fleetClock.correct(fleetClock.elapsed(), median(400))
    let last = fleetClock.now()
    for (let at = 0; at < 4; at++) {
      await machine.advance(seconds(1))
      expect(fleetClock.now()).toBeGreaterThan(last)
      last = fleetClock.now()
    }
    expect(errorOf(machine, fleetClock)).toBeCloseTo(-200)
    await machine.advance(seconds(60))
    expect(errorOf(machine, fleetClock)).toBeCloseTo(-400)
  })

  it('is not corrected twice by two replies to reports that were sent at the same moment', async () => {
    const machine = new Machine()
    machine.jump = 3000
    const fleetClock = new FleetClock({ clock: machine })
    const [elapsed, median] = [fleetClock.elapsed(), epochMillis(machine.wall() - 3000)]
    fleetClock.correct(elapsed, median)
    await machine.advance(millis(20))
    fleetClock.correct(elapsed, median)
    await machine.advance(seconds(10))
    expect(errorOf(machine, fleetClock)).toBe(0)
  })
})

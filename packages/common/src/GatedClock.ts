import type { Clock, Timer } from './Clock.js'
import type { InstanceGate } from './InstanceGate.js'
import type { EpochMillis, Millis } from './units.js'

/** The clock of one instance: reading the time is never delayed, timers wait for the gate. */
export class GatedClock implements Clock {
  readonly #clock: Clock
  readonly #gate: InstanceGate

  constructor (clock: Clock, gate: InstanceGate) {
    this.#clock = clock
    this.#gate = gate
  }

  now (): Millis {
    return this.#clock.now()
  }

  wall (): EpochMillis {
    return this.#clock.wall()
  }

  after (delay: Millis, fire: () => void): Timer {
    let isCancelled = false
    const timer = this.#clock.after(delay, () => this.#gate.run(() => { if (!isCancelled) fire() }))
    return {
      cancel: () => {
        isCancelled = true
        timer.cancel()
      }
    }
  }

  every (period: Millis, fire: () => void): Timer {
    let isCancelled = false
    let timer: Timer
    const schedule = (): void => {
      timer = this.after(period, () => {
        schedule()
        fire()
      })
      if (isCancelled) timer.cancel()
    }
    schedule()
    return {
      cancel: () => {
        isCancelled = true
        timer.cancel()
      }
    }
  }

  sleep (delay: Millis): Promise<void> {
    return new Promise((resolve) => { this.after(delay, resolve) })
  }
}

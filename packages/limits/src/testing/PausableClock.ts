import type { Clock, EpochMillis, Millis, Timer } from '@papayahill/common'

/** The clock of one instance: its timers fire late while the instance is frozen, but its time goes on. */
export class PausableClock implements Clock {
  readonly #clock: Clock
  #isFrozen = false
  #overdue: Array<() => void> = []

  constructor (clock: Clock) {
    this.#clock = clock
  }

  freeze (): void {
    this.#isFrozen = true
  }

  thaw (): void {
    this.#isFrozen = false
    for (const callback of this.#overdue.splice(0)) callback()
  }

  now (): Millis {
    return this.#clock.now()
  }

  wall (): EpochMillis {
    return this.#clock.wall()
  }

  after (delay: Millis, callback: () => void): Timer {
    let isCancelled = false
    const timer = this.#clock.after(delay, () => {
      if (!this.#isFrozen) return callback()
      this.#overdue.push(() => { if (!isCancelled) callback() })
    })
    return {
      cancel: () => {
        isCancelled = true
        timer.cancel()
      }
    }
  }

  every (period: Millis, callback: () => void): Timer {
    let timer: Timer
    let isCancelled = false
    const fire = (): void => {
      if (isCancelled) return
      timer = this.after(period, fire)
      callback()
    }
    timer = this.after(period, fire)
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

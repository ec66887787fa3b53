import { epochMillis, InstanceGate, millis } from '@papayahill/common'
import type { Clock, EpochMillis, Millis, Timer } from '@papayahill/common'
import type { ElapsedClock } from '../ElapsedClock.js'

/** How a machine stands still: its steady clock goes on while processes are stopped, and not while it is suspended. */
export type FreezeKind = 'stopped' | 'suspended'

/** Resolution of the boot-time clock. */
const BOOT_RESOLUTION = 10
/** Error of times that were multiplied by the rate, in milliseconds. */
const ROUNDING = 0.001

/** The clocks and timers of one machine in virtual time, which can be frozen and whose wall clock can jump. */
export class SimulatedMachine implements Clock, ElapsedClock {
  readonly #clock: Clock
  /** Speed of its clocks. */
  readonly #rate: number
  #gate = new InstanceGate()
  #wallOffset = 0
  #suspended = 0
  #suspendedAt: Millis | undefined

  constructor (clock: Clock, rate = 1) {
    this.#clock = clock
    this.#rate = rate
  }

  /** Delays and drops callbacks of the process that runs now. */
  get gate (): InstanceGate {
    return this.#gate
  }

  now (): Millis {
    return millis(((this.#suspendedAt ?? this.#clock.now()) - this.#suspended) * this.#rate)
  }

  wall (): EpochMillis {
    return epochMillis(this.#clock.wall() + this.#clock.now() * (this.#rate - 1) + this.#wallOffset)
  }

  boot (): Millis {
    return millis(Math.floor(this.#clock.now() * this.#rate / BOOT_RESOLUTION) * BOOT_RESOLUTION)
  }

  jump (by: Millis): void {
    this.#wallOffset += by
  }

  freeze (kind: FreezeKind): void {
    this.#gate.pause()
    if (kind === 'suspended') this.#suspendedAt ??= this.#clock.now()
  }

  resume (): void {
    if (this.#suspendedAt !== undefined) this.#suspended += this.#clock.now() - this.#suspendedAt
    this.#suspendedAt = undefined
    this.#gate.resume()
  }

  /** Ends the process that runs now. */
  kill (): void {
    this.#gate.kill()
  }

  /** Begins a new process on this machine. */
  restart (): void {
    this.resume()
    this.#gate = new InstanceGate()
  }

  after (delay: Millis, callback: () => void): Timer {
    const gate = this.#gate
    const due = this.now() + Math.max(0, delay)
    let isCancelled = false
    const arm = (): void => {
      this.#clock.after(millis(Math.max(0, due - this.now()) / this.#rate), () => gate.run(() => {
        if (isCancelled) return
        if (due - this.now() > ROUNDING) arm()
        else callback()
      }))
    }
    arm()
    return { cancel: () => { isCancelled = true } }
  }

  every (period: Millis, callback: () => void): Timer {
    let isCancelled = false
    let timer: Timer
    const schedule = (): void => {
      timer = this.after(period, () => {
        schedule()
        if (!isCancelled) callback()
      })
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

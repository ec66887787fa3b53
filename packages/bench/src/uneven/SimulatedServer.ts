import { exponential, millis, seconds } from '@papayahill/common'
import type { Clock, Millis, Random } from '@papayahill/common'
import type { ReportedLoad } from '@papayahill/directory'

/** Time of a call at an endpoint of speed 1 without company. */
export const USUAL_TIME = millis(100)
export const SLOTS = 8
/** A spell of momentary slowness, how much longer calls take in it, and the mean time between two of one endpoint. */
const SPELL = millis(600)
const SPELL_FACTOR = 2.5
const SPELL_INTERVAL = seconds(10)
/** Relative deviation of single calls. */
const NOISE = 0.15
const PERCENT = 100

interface WaitingCall {
  readonly onEnd: () => void
}

/** An endpoint with its own speed, which slows down beyond some concurrent calls and now and then for a moment. */
export class SimulatedServer {
  /** Multiple of the usual time. */
  slowness: number
  readonly comfortable: number
  readonly #clock: Clock
  readonly #random: Random
  readonly #waiting: WaitingCall[] = []
  #running = 0
  #momentary = 1
  /** Calls since the last reset, by which its load is compared with its fair one. */
  calls = 0

  constructor (clock: Clock, random: Random, slowness: number, comfortable: number) {
    this.#clock = clock
    this.#random = random
    this.slowness = slowness
    this.comfortable = comfortable
    this.#scheduleSpell()
  }

  /** Calls a second that it takes without slowing down. */
  get capacity (): number {
    return this.comfortable / this.slowness
  }

  /** Expected time of one more call, as only one that knows everything can tell. */
  get expectedTime (): number {
    const load = this.#running + this.#waiting.length + 1
    const company = Math.max(1, Math.min(SLOTS, load) / this.comfortable)
    return this.slowness * this.#momentary * company * (1 + Math.max(0, load - SLOTS) / SLOTS)
  }

  /** What its answers report. */
  report (own: number): ReportedLoad {
    const slowdown = Math.round(this.#momentary * PERCENT) / PERCENT
    return { running: this.#running, waiting: this.#waiting.length, slots: SLOTS, slowdown, own, at: this.#clock.now() }
  }

  call (onEnd: () => void): void {
    this.calls++
    if (this.#running < SLOTS) this.#run({ onEnd })
    else this.#waiting.push({ onEnd })
  }

  #run ({ onEnd }: WaitingCall): void {
    this.#running++
    const company = Math.max(1, this.#running / this.comfortable)
    const noise = 1 + NOISE * (2 * this.#random.next() - 1)
    const took: Millis = millis(USUAL_TIME * this.slowness * this.#momentary * company * noise)
    this.#clock.after(took, () => {
      this.#running--
      const next = this.#waiting.shift()
      if (next !== undefined) this.#run(next)
      onEnd()
    })
  }

  #scheduleSpell (): void {
    this.#clock.after(millis(exponential(this.#random, SPELL_INTERVAL)), () => {
      this.#momentary = SPELL_FACTOR
      this.#clock.after(SPELL, () => {
        this.#momentary = 1
        this.#scheduleSpell()
      })
    })
  }
}

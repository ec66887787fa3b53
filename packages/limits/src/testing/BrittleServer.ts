import { millis, MILLIS_PER_SECOND, seconds } from '@papayahill/common'
import type { Millis, VirtualClock } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import type { CallEffect } from '../types.js'
import type { HarnessServer, LimitInstance } from './LimitHarness.js'

/** Network delay in each direction, and the processing time of a request. */
const ONE_WAY_DELAY = millis(1)
const WORK_TIME = millis(150)
/** Requests that may wait before it is brittle, and until instances have had time to be told. */
const FULL_ROOM = 24
const TOLD_AFTER = seconds(3)
const DOWN_TIME = seconds(3)

/** An endpoint that may say that it is brittle, lets nobody wait from a time after that on, and falls over by rejections. */
export class BrittleServer implements HarnessServer {
  readonly id: string
  readonly slots: number
  readonly falls: Millis[] = []
  readonly rejections: Millis[] = []
  readonly done: Millis[] = []
  arrivals = 0
  readonly #clock: VirtualClock
  #running = 0
  #waiting: Array<() => void> = []
  #perSecond: number | undefined
  #brittleSince: Millis | undefined
  #downUntil = millis(-Infinity)
  /** Increases with each fall. */
  #life = 0

  constructor (clock: VirtualClock, id: string, slots: number) {
    this.#clock = clock
    this.id = id
    this.slots = slots
  }

  /** Says from now on in all answers that it bears so many rejections per second; nothing if it is undefined. */
  name (perSecond: number | undefined): void {
    this.#perSecond = perSecond
    this.#brittleSince = perSecond === undefined ? undefined : this.#clock.now()
  }

  async serve (instance: LimitInstance, endpoint: Endpoint): Promise<void> {
    const sentAt = this.#clock.now()
    endpoint.running++
    await this.#clock.sleep(ONE_WAY_DELAY)
    const effect = await this.#process()
    const perSecond = this.#perSecond
    await this.#clock.sleep(ONE_WAY_DELAY)
    endpoint.running--
    if (instance.gate.isDead) return
    if (effect !== 'unknown') instance.directory.noteLimit(endpoint, { perSecond, sentAt }, 'rejectionLimit')
    else endpoint.noteConnectionFailure(this.#clock.now())
    instance.limits.callEnded(endpoint, effect, millis(this.#clock.now() - sentAt))
  }

  /** Most rejections in any second from a time on. */
  mostRejections (from: Millis): number {
    const judged = this.rejections.filter((at) => at >= from)
    return Math.max(0, ...judged.map((end) => judged.filter((at) => at <= end && at > end - MILLIS_PER_SECOND).length))
  }

  /** Share of what it bears that it has done since a time. */
  goodput (from: Millis): number {
    const borne = this.slots * (this.#clock.now() - from) / WORK_TIME
    return this.done.filter((at) => at >= from).length / borne
  }

  get #isTold (): boolean {
    return this.#brittleSince !== undefined && this.#clock.now() >= this.#brittleSince + TOLD_AFTER
  }

  async #process (): Promise<CallEffect> {
    if (this.#clock.now() < this.#downUntil) return 'unknown'
    this.arrivals++
    const life = this.#life
    if (this.#running >= this.slots) {
      if (this.#waiting.length >= (this.#isTold ? 0 : FULL_ROOM)) return this.#reject()
      await new Promise<void>((resolve) => this.#waiting.push(resolve))
      if (life !== this.#life) return 'unknown'
    }
    this.#running++
    await this.#clock.sleep(WORK_TIME)
    if (life !== this.#life) return 'unknown'
    this.#running--
    this.#waiting.shift()?.()
    this.done.push(this.#clock.now())
    return 'answered'
  }

  #reject (): CallEffect {
    const now = this.#clock.now()
    this.rejections.push(now)
    const lately = this.rejections.filter((at) => at > now - MILLIS_PER_SECOND && at > (this.falls.at(-1) ?? -Infinity)).length
    if (this.#isTold && lately > this.#perSecond!) this.#fall(now)
    return 'rejected'
  }

  #fall (now: Millis): void {
    this.falls.push(now)
    this.#downUntil = millis(now + DOWN_TIME)
    this.#life++
    this.#running = 0
    for (const resume of this.#waiting.splice(0)) resume()
  }
}

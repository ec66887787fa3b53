import { millis, seconds } from '@papayahill/common'
import type { Millis, VirtualClock } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import type { LimitInstance } from './LimitHarness.js'

/** Network delay in each direction, and the processing time of a request. */
const ONE_WAY_DELAY = millis(1)
const WORK_TIME = millis(20)
/** The platform's rule: bound of a window of requests, and the times after which instance and endpoint are judged. */
const WINDOW = seconds(4)
const RATE_FACTOR = 1.5
const SLACK = 5
const TOLD_AFTER = millis(500)
const JUDGED_AFTER = seconds(4)

/** A request as it arrived at its endpoint. */
export interface Arrival {
  readonly at: Millis
  /** Whether its instance had passed on an answer that named the limit, half a second before or earlier. */
  readonly isTold: boolean
}

/** From when on an endpoint names a limit; undefined if it names none. */
interface Naming {
  readonly from: Millis
  readonly perSecond: number | undefined
}

/** An endpoint that names a limit of requests in its answers. */
export class LimitedServer {
  readonly id: string
  readonly arrivals: Arrival[] = []
  readonly #clock: VirtualClock
  readonly #namings: Naming[] = []
  #namedSince: Millis | undefined
  readonly #toldAt = new Map<LimitInstance, Millis>()

  constructor (clock: VirtualClock, id: string) {
    this.#clock = clock
    this.id = id
  }

  get perSecond (): number | undefined {
    return this.#namings.at(-1)?.perSecond
  }

  /** Names this limit from now on; none if it is undefined. */
  name (perSecond: number | undefined): void {
    const now = this.#clock.now()
    if (this.perSecond === undefined) this.#namedSince = now
    this.#namings.push({ from: now, perSecond })
  }

  /** Serves a request of an instance, which reads the limit in the answer. */
  async serve (instance: LimitInstance, endpoint: Endpoint): Promise<void> {
    const sentAt = this.#clock.now()
    await this.#clock.sleep(ONE_WAY_DELAY)
    const now = this.#clock.now()
    const toldAt = this.#toldAt.get(instance)
    this.arrivals.push({ at: now, isTold: toldAt !== undefined && now - toldAt >= TOLD_AFTER })
    await this.#clock.sleep(WORK_TIME)
    const perSecond = this.perSecond
    await this.#clock.sleep(ONE_WAY_DELAY)
    instance.receive(endpoint, perSecond, sentAt)
    if (perSecond !== undefined && !this.#toldAt.has(instance)) this.#toldAt.set(instance, this.#clock.now())
  }

  /** Number of requests in a span. */
  arrivalsSince (from: Millis): number {
    return this.arrivals.filter(({ at }) => at >= from).length
  }

  /** The fullest window as a share of what the platform allows; of told instances only, or of all. */
  worstShareOfBound (among: 'told' | 'all'): number {
    if (this.#namedSince === undefined) return 0
    const judgedFrom = this.#namedSince + JUDGED_AFTER
    const times = this.arrivals.filter(({ at, isTold }) => at >= judgedFrom && (among === 'all' || isTold)).map(({ at }) => at)
    let worst = 0
    let first = 0
    times.forEach((at, last) => {
      while (times[first]! <= at - WINDOW) first++
      worst = Math.max(worst, (last - first + 1) / this.#boundOf(millis(at - WINDOW), at))
    })
    return worst
  }

  /** Requests that may arrive in a window, by the highest limit in force in it; Infinity if there was none for a time. */
  #boundOf (from: Millis, to: Millis): number {
    const inForce = this.#namings.filter(({ from: start }, at) => start <= to && (this.#namings[at + 1]?.from ?? Infinity) > from)
    return Math.max(...inForce.map(({ perSecond = Infinity }) => perSecond)) * RATE_FACTOR * (WINDOW / 1000) + SLACK
  }
}

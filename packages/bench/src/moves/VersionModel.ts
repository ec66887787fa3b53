import type { CallOutcome, Clock, Random } from '@papayahill/common'
import type { MoveScenario, RouteTraffic, Span } from './scenario.js'

const MILLIS = 1000
const BASE_FAIL_SHARE = 0.003
const TROUBLE_FAIL_SHARE = 0.05
const TROUBLE_FACTOR = 3
const TAIL_SHARE = 0.03
const TAIL_FACTOR = 3
const BEARS_COLD = 2
const BEARS_WARM = 24
const COMPLETED_PER_STEP = 2

export interface CallEnd {
  readonly outcome: CallOutcome
  readonly took: number
  /** Whether the new version's fault showed on this call. */
  readonly isFaulty: boolean
}

const isIn = (span: Span | undefined, at: number): boolean => span !== undefined && at >= span.from && at < span.to

export interface VersionModelOptions {
  readonly clock: Clock
  readonly random: Random
  readonly scenario: MoveScenario
  readonly isNew: boolean
}

/** The endpoints of one version, taken together: what they bear, how long calls take and how they end. */
export class VersionModel {
  running = 0
  readonly #options: VersionModelOptions
  readonly #startedAt: number
  #completed = 0
  #restarts = 0

  constructor (options: VersionModelOptions) {
    this.#options = options
    this.#startedAt = options.clock.now()
  }

  /** Calls borne at once; endpoints of the new version start cold. */
  get bears (): number {
    const { isNew, scenario } = this.#options
    if (!isNew) return Infinity
    const each = Math.min(BEARS_WARM, BEARS_COLD + Math.floor(this.#completed / scenario.newEndpoints / COMPLETED_PER_STEP))
    return scenario.newEndpoints * each
  }

  /** All endpoints restart: running calls are cut and they are cold again. */
  restart (): void {
    this.#restarts++
    this.#completed = 0
  }

  /** Runs a call; `ended` is told how. */
  run (traffic: RouteTraffic, route: number, ended: (end: CallEnd) => void): void {
    const { clock } = this.#options
    this.running++
    const life = this.#restarts
    const end = this.#draw(traffic, route)
    const { took } = end
    clock.after(took as never, () => {
      this.running--
      this.#completed++
      ended(life === this.#restarts ? end : { ...end, outcome: 'cut' })
    })
  }

  #draw ({ callTime }: RouteTraffic, route: number): CallEnd {
    const { random, scenario } = this.#options
    const isTroubled = isIn(scenario.commonTrouble, this.#seconds())
    const fault = this.#isFaulty(route) ? scenario.fault : undefined
    const tail = random.next() < TAIL_SHARE ? TAIL_FACTOR : 1
    const base = callTime * (0.6 + 0.8 * random.next()) * tail * (isTroubled ? TROUBLE_FACTOR : 1)
    const failShare = Math.max(isTroubled ? TROUBLE_FAIL_SHARE : BASE_FAIL_SHARE, fault?.failShare ?? 0)
    const outcome = random.next() < failShare ? 'failed' : 'done'
    return { outcome, took: base * (fault?.slowFactor ?? 1), isFaulty: fault !== undefined }
  }

  #isFaulty (route: number): boolean {
    const { scenario, isNew } = this.#options
    const { fault } = scenario
    if (fault === undefined || !isNew) return false
    const isOnRoute = fault.route === undefined || fault.route === route
    return isOnRoute && this.#seconds() >= fault.from && this.running > fault.aboveRunning
  }

  #seconds (): number {
    return (this.#options.clock.now() - this.#startedAt) / MILLIS
  }
}

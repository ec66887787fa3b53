import { exponential, millis, MILLIS_PER_SECOND, seconds, SeededRandom, VirtualClock } from '@papayahill/common'
import type { Millis, Random } from '@papayahill/common'
import { newInstance } from './newInstance.js'
import type { SimulatedInstance, UnevenPolicy } from './newInstance.js'
import { SimulatedServer, SLOTS, USUAL_TIME } from './SimulatedServer.js'

/** Offered load as a share of what all endpoints together take well. */
const LOAD = 0.6
/** An answer is in time within this many usual times. */
const TARGET_TIMES = 3
/** Time before the change, and after it. */
const HALF = seconds(12)
/** Time within which the choice must have settled. */
export const SETTLE_TIME = seconds(2)
/** Bounds of the endpoints' times as multiples of the mean. */
const FASTEST = 0.7
const SLOWEST = 1.7
/** Every so many endpoints change their speed half way, and every so many slow down before their slots are full. */
const CHANGED = 3
const EARLY = 2
const EARLY_SHARE = 0.5
/** Length of the windows by which settling is judged. */
export const WINDOW = millis(500)

export interface UnevenFigures {
  /** Share of answers in time, without the first seconds of the run. */
  readonly inTime: number
  /** Highest ratio of an endpoint's calls to its fair share, over the times in which the choice must have settled. */
  readonly busiest: number
  /** Shares of answers in time in the windows after the change. */
  readonly windows: readonly number[]
  readonly calls: number
}

interface Answer {
  readonly at: number
  readonly isInTime: boolean
}

/** Endpoints of one service, called by instances that know only their own answers. */
class UnevenRun {
  readonly #clock = new VirtualClock()
  readonly #random: Random
  readonly #servers: SimulatedServer[]
  readonly #instances: SimulatedInstance[]
  readonly #answers: Answer[] = []

  constructor (seed: number, instances: number, servers: number, policy: UnevenPolicy) {
    this.#random = new SeededRandom(seed * 7919 + 13)
    this.#servers = Array.from({ length: servers }, (_none, at) => {
      const slowness = FASTEST + (SLOWEST - FASTEST) * ((at * 5) % servers) / (servers - 1)
      return new SimulatedServer(this.#clock, this.#random.fork(), slowness, at % EARLY === 0 ? SLOTS * EARLY_SHARE : SLOTS)
    })
    this.#instances = Array.from({ length: instances }, (_none, at) =>
      newInstance({ clock: this.#clock, random: this.#random.fork(), servers: this.#servers, policy }))
  }

  async run (): Promise<UnevenFigures> {
    this.#scheduleCall()
    const before = await this.#half()
    const changedAt = this.#clock.now()
    for (const [at, server] of this.#servers.entries()) if (at % CHANGED === 0) server.slowness = FASTEST + SLOWEST - server.slowness
    const after = await this.#half()
    const counted = this.#answers.filter(({ at }) => at >= SETTLE_TIME)
    return {
      inTime: shareInTime(counted),
      busiest: Math.max(before, after),
      windows: this.#windowsFrom(changedAt),
      calls: this.#answers.length
    }
  }

  /** Runs one half; returns the busiest endpoint's ratio to its fair load after the time to settle. */
  async #half (): Promise<number> {
    await this.#clock.advance(SETTLE_TIME)
    for (const server of this.#servers) server.calls = 0
    await this.#clock.advance(millis(HALF - SETTLE_TIME))
    const calls = this.#servers.reduce((sum, server) => sum + server.calls, 0)
    return Math.max(...this.#servers.map((server) => server.calls / (calls * server.capacity / this.#capacity)))
  }

  #windowsFrom (start: Millis): readonly number[] {
    return Array.from({ length: Math.floor(HALF / WINDOW) }, (_none, at) => {
      const from = start + at * WINDOW
      return shareInTime(this.#answers.filter((answer) => answer.at >= from && answer.at < from + WINDOW))
    })
  }

  get #capacity (): number {
    return this.#servers.reduce((sum, { capacity }) => sum + capacity, 0)
  }

  #scheduleCall (): void {
    const perSecond = LOAD * this.#capacity * MILLIS_PER_SECOND / USUAL_TIME
    this.#clock.after(millis(exponential(this.#random, MILLIS_PER_SECOND / perSecond)), () => {
      const startedAt = this.#clock.now()
      this.#instances[this.#random.below(this.#instances.length)]!.call(() => {
        const took = this.#clock.now() - startedAt
        this.#answers.push({ at: startedAt, isInTime: took <= TARGET_TIMES * USUAL_TIME })
      })
      this.#scheduleCall()
    })
  }
}

const shareInTime = (answers: readonly Answer[]): number =>
  answers.length === 0 ? 1 : answers.filter(({ isInTime }) => isInTime).length / answers.length

/**
 * Runs one scenario: endpoints of unequal speed with spells of slowness, a third of which change their speed half way.
 *
 * @example
 * const { inTime } = await runUneven(1, 60, 24, 'learnt')
 */
export const runUneven = async (seed: number, instances: number, servers: number, policy: UnevenPolicy): Promise<UnevenFigures> =>
  await new UnevenRun(seed, instances, servers, policy).run()

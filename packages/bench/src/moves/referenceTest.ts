import type { SeenCall } from './MoveRig.js'

/** Chance to blame a good version in a move, spread over the looks at four routes of five thousand calls each. */
const SUFFICIENT_CHANCE = 0.002 / 20_000
/** How many times as often as the old one's the new version's calls may be adverse. */
const TOLERATED_RATIO = 1.5
const RECENT_OLD_CALLS = 200
const SLOW_QUANTILE = 0.95
const SLOW_MARGIN = 1.3
const MIN_OLD_CALLS = 50
/** The limit of slow calls is worked out anew after so many calls of the old version. */
const LIMIT_EVERY = 20
/** Calls that ended longer ago no longer speak. */
const WINDOW = 30_000

interface Counts {
  newCalls: number
  oldCalls: number
  newAdverse: number
  oldAdverse: number
}

const logFactorial = (count: number): number => {
  let sum = 0
  for (let index = 2; index <= count; index++) sum += Math.log(index)
  return sum
}

/**
 * The chance that so many of the adverse calls are the new version's by luck, when its calls are adverse
 * no more than the tolerated number of times as often as the old one's (one-sided binomial test).
 */
export const chanceByLuck = ({ newCalls, oldCalls, newAdverse, oldAdverse }: Counts): number => {
  const adverse = newAdverse + oldAdverse
  const weight = TOLERATED_RATIO * newCalls
  const share = weight / (weight + oldCalls)
  let chance = 0
  for (let picked = newAdverse; picked <= adverse; picked++) {
    const ways = logFactorial(adverse) - logFactorial(picked) - logFactorial(adverse - picked)
    chance += Math.exp(ways + picked * Math.log(share) + (adverse - picked) * Math.log(1 - share))
  }
  return chance
}

interface Ended {
  readonly at: number
  readonly isNew: boolean
  readonly isAdverse: boolean
}

/** One instance's own calls on one route, in the order in which they ended. */
class RouteWatch {
  readonly #failed: Ended[] = []
  readonly #slow: Ended[] = []
  readonly #oldTimes: number[] = []
  #oldCalls = 0
  #limit: number | undefined

  /** Takes a call in; true where the calls now show the new version to be worse. */
  add (call: SeenCall): boolean {
    const isFailed = call.outcome !== 'done'
    const isSufficient = this.#test(this.#failed, call, isFailed)
    if (isFailed) return isSufficient
    const limit = this.#limit
    if (!call.isNew) this.#rememberOld(call.took)
    if (limit === undefined) return isSufficient
    return this.#test(this.#slow, call, call.took > limit) || isSufficient
  }

  #test (recent: Ended[], { endedAt, isNew }: SeenCall, isAdverse: boolean): boolean {
    recent.push({ at: endedAt, isNew, isAdverse })
    while (recent[0]!.at < endedAt - WINDOW) recent.shift()
    if (!isNew || !isAdverse) return false
    return chanceByLuck(countsOf(recent)) < SUFFICIENT_CHANCE
  }

  #slowLimit (): number | undefined {
    if (this.#oldTimes.length < MIN_OLD_CALLS) return undefined
    const sorted = [...this.#oldTimes].sort((left, right) => left - right)
    return sorted[Math.floor(SLOW_QUANTILE * sorted.length)]! * SLOW_MARGIN
  }

  #rememberOld (took: number): void {
    this.#oldTimes.push(took)
    if (this.#oldTimes.length > RECENT_OLD_CALLS) this.#oldTimes.shift()
    this.#oldCalls++
    if (this.#oldCalls % LIMIT_EVERY === 0) this.#limit = this.#slowLimit()
  }
}

const countsOf = (recent: readonly Ended[]): Counts => {
  const counts: Counts = { newCalls: 0, oldCalls: 0, newAdverse: 0, oldAdverse: 0 }
  for (const { isNew, isAdverse } of recent) {
    counts[isNew ? 'newCalls' : 'oldCalls']++
    if (isAdverse) counts[isNew ? 'newAdverse' : 'oldAdverse']++
  }
  return counts
}

const watchOf = (watches: Map<string, RouteWatch>, key: string): RouteWatch => {
  const watch = watches.get(key) ?? new RouteWatch()
  watches.set(key, watch)
  return watch
}

/** Whose calls are put together: those of each instance alone, or those of all instances. */
export type Pooling = 'alone' | 'together'

/**
 * When calls that ended first showed the new version to be worse, in milliseconds since the move began;
 * undefined where they never did. It stands on the trace alone.
 */
export const evidenceSufficesAt = (calls: readonly SeenCall[], pooling: Pooling): number | undefined => {
  const watches = new Map<string, RouteWatch>()
  const ended = calls.filter(({ endedAt }) => Number.isFinite(endedAt)).sort((left, right) => left.endedAt - right.endedAt)
  for (const call of ended) {
    const group = pooling === 'alone' ? call.instance : 'all'
    if (watchOf(watches, `${group} ${call.route}`).add(call)) return call.endedAt
  }
  return undefined
}

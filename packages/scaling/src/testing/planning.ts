import { brand, millis, seconds } from '@papayahill/common'
import type { DomainId, Incarnation, Millis } from '@papayahill/common'
import { EMPTY_HISTORY, planEndpoints } from '../planEndpoints.js'
import type { DomainEndpoints, LoadSample, ScalingHistory, ScalingInput, ScalingPlan } from '../types.js'

export const [EAST, WEST] = ['east', 'west'].map((domain) => brand<DomainId>(domain)) as [DomainId, DomainId]
export const MEMBERS = ['i1', 'i2', 'i3', 'i4'].map((member) => brand<Incarnation>(member))
export const SLOTS = 8
export const HOLD = millis(400)
export const PROFILE = { min: 1, max: 20, bootTime: seconds(8) }

export const domainOf = (domain: DomainId, ordered: number, fields: Partial<DomainEndpoints> = {}): DomainEndpoints => {
  const listed = fields.listed ?? ordered
  return { domain, isOut: false, listed, cold: 0, concurrency: listed * SLOTS, ordered, ...fields }
}

/** Samples of all instances that share a load, given as the calls that it keeps running. */
export const samplesOf = (calls: number, fields: Partial<LoadSample> = {}): readonly LoadSample[] => MEMBERS.map((from) => {
  const perSecond = calls / MEMBERS.length * 1000 / HOLD
  return {
    from,
    domain: EAST,
    age: millis(500),
    running: calls / MEMBERS.length,
    waiting: 0,
    begunPerSecond: perSecond,
    refusedPerSecond: 0,
    arrivedPerSecond: perSecond,
    newestPerSecond: perSecond,
    holdTime: HOLD,
    ...fields
  }
})

/**
 * Plans second by second, with endpoints that boot as long as the profile says.
 *
 * @example
 * const run = new PlanRun(2)
 * run.plan({ samples: samplesOf(30) })
 */
export class PlanRun {
  now: Millis = millis(0)
  /** Orders of each failure domain, by the time at which they were given. */
  readonly #orders = new Map<DomainId, Array<{ readonly at: Millis, readonly count: number }>>()
  history: ScalingHistory = EMPTY_HISTORY
  readonly totals: number[] = []

  constructor (perDomain: number, domains: readonly DomainId[] = [EAST, WEST]) {
    for (const domain of domains) this.#orders.set(domain, [{ at: millis(-60_000), count: perDomain }])
  }

  ordered (domain: DomainId): number {
    return this.#orders.get(domain)!.at(-1)!.count
  }

  /** Endpoints that have booted; ones that are no longer wanted are gone. */
  listed (domain: DomainId): number {
    const orders = this.#orders.get(domain)!
    const booted = orders.findLast(({ at }) => this.now - at >= PROFILE.bootTime)!
    return Math.min(booted.count, ...orders.filter(({ at }) => at >= booted.at).map(({ count }) => count))
  }

  plan (fields: Partial<ScalingInput> = {}): ScalingPlan {
    this.now = millis(this.now + 1000)
    const plan = planEndpoints({
      now: this.now,
      profile: PROFILE,
      coldTime: millis(0),
      domains: [...this.#orders.keys()].map((domain) => domainOf(domain, this.ordered(domain), { listed: this.listed(domain) })),
      samples: samplesOf(20),
      members: new Set(MEMBERS),
      heard: new Set(MEMBERS),
      isMoving: false,
      history: this.history,
      ...fields
    })
    this.history = plan.history
    for (const [domain, count] of plan.endpoints) {
      if (count !== this.ordered(domain)) this.#orders.get(domain)!.push({ at: this.now, count })
    }
    this.totals.push([...plan.endpoints.values()].reduce((sum, count) => sum + count, 0))
    return plan
  }

  /** Plans for a number of seconds; returns the last plan. */
  planFor (count: number, fieldsAt: (second: number) => Partial<ScalingInput> = () => ({})): ScalingPlan {
    let plan = this.plan(fieldsAt(0))
    for (let second = 1; second < count; second++) plan = this.plan(fieldsAt(second))
    return plan
  }
}

import { millis } from '@papayahill/common'
import type { DomainId, Millis } from '@papayahill/common'
import {
  FALL_MARGIN, FALL_WINDOW, HEARD_MARGIN, MAX_POINTS, MAX_SAMPLE_AGE, MAX_UTILISATION, MIN_HEARD_SHARE, OUT_PERIOD, PLAN_PERIOD,
  RISE_TOLERANCE, STAFFING_FACTOR, TREND_WINDOW
} from './constants.js'
import { divideEndpoints } from './divideEndpoints.js'
import { estimateDemand } from './estimateDemand.js'
import type { Demand } from './estimateDemand.js'
import { forecastDemand, isBurst } from './forecastDemand.js'
import type { DemandForecast } from './forecastDemand.js'
import { EMPTY_HOLD_FIT } from './holdFit.js'
import { limitFall } from './limitFall.js'
import type { DomainEndpoints, LoadSample, ScalingHistory, ScalingInput, ScalingPlan, ScalingReason } from './types.js'

export const EMPTY_HISTORY: ScalingHistory = {
  demands: [], needs: [], heardSince: undefined, holdFit: EMPTY_HOLD_FIT, concurrency: 0, outSince: new Map()
}

const sumOf = (domains: readonly DomainEndpoints[], valueOf: (domain: DomainEndpoints) => number): number =>
  domains.reduce((sum, domain) => sum + valueOf(domain), 0)

/** Samples of instances that are alive; an instance that ended has no load, and its callers come to the others. */
const currentSamples = ({ samples, members }: ScalingInput): readonly LoadSample[] =>
  samples.filter(({ from, age }) => members.has(from) && age <= MAX_SAMPLE_AGE)

const heardSince = ({ now, members, heard, history }: ScalingInput): Millis | undefined => {
  let count = 0
  for (const member of members) if (heard.has(member)) count++
  const isEnough = members.size > 0 && count >= members.size * MIN_HEARD_SHARE
  return isEnough ? history.heardSince ?? now : undefined
}

/** When each failure domain that is out went out. */
const outSince = ({ now, domains, history }: ScalingInput): ReadonlyMap<DomainId, Millis> =>
  new Map(domains.filter(({ isOut }) => isOut).map(({ domain }) => [domain, history.outSince.get(domain) ?? now]))

/** Endpoints for a demand, not rounded: with spare capacity for its variation, and for load that is not divided evenly. */
const endpointsFor = (demand: number, concurrency: number): number =>
  Math.max(demand + STAFFING_FACTOR * Math.sqrt(demand), demand / MAX_UTILISATION) / concurrency

/** Windows that a plan looks back over are a little shorter than a whole number of plans, whose timers are not exact. */
const within = <Point extends { readonly at: Millis }>(points: readonly Point[], now: Millis, window: Millis): readonly Point[] =>
  points.filter(({ at }) => now - at < window + PLAN_PERIOD / 2).slice(-MAX_POINTS)

interface Assessment {
  readonly input: ScalingInput
  readonly live: readonly DomainEndpoints[]
  readonly demand: Demand
  readonly forecast: DemandForecast
  readonly needed: number
  /** The most that was needed within the fall window, and a margin. */
  readonly lately: number
  readonly history: ScalingHistory
}

const assess = (input: ScalingInput): Assessment => {
  const { now, profile, coldTime, domains, history } = input
  const live = domains.filter(({ isOut }) => !isOut)
  const listed = sumOf(live, (domain) => domain.listed)
  const capacity = sumOf(live, (domain) => domain.concurrency)
  const concurrency = listed > 0 && capacity > 0 ? capacity / listed : history.concurrency
  const demand = estimateDemand(currentSamples(input), history.holdFit, capacity)
  const isNewSeries = demand.isCrowded || isBurst(history.demands, now, demand.calls)
  const known = isNewSeries ? [] : within(history.demands, now, TREND_WINDOW)
  const demands = [...known, { at: now, demand: demand.calls }]
  const forecast = forecastDemand(demands, now, millis(profile.bootTime + coldTime))
  const ordered = sumOf(live, (domain) => domain.ordered)
  const expected = Math.max(forecast.later, demand.isCrowded ? demand.calls : 0)
  const endpoints = concurrency > 0 ? endpointsFor(expected, concurrency) : ordered
  const needs = [...within(history.needs, now, FALL_WINDOW), { at: now, endpoints }]
  const needed = Math.ceil(endpoints - RISE_TOLERANCE)
  return {
    input,
    live,
    demand,
    forecast,
    needed,
    lately: Math.ceil(Math.max(...needs.map((need) => need.endpoints)) + FALL_MARGIN),
    history: {
      demands, needs, concurrency, heardSince: heardSince(input), holdFit: demand.holdFit, outSince: outSince(input)
    }
  }
}

/** Why nothing may be released at all; undefined if something may. */
const holdReason = ({ input: { now, profile, isMoving }, history }: Assessment): ScalingReason | undefined => {
  if (isMoving) return 'move'
  const isHeardLongEnough = history.heardSince !== undefined && now - history.heardSince >= profile.bootTime + HEARD_MARGIN
  return isHeardLongEnough ? undefined : 'samples'
}

/** Why more endpoints are wanted. */
const riseReason = ({ input, demand, forecast }: Assessment): ScalingReason => {
  if (demand.isCrowded) return 'waiting'
  if (input.domains.some(({ isOut }) => isOut)) return 'domain-out'
  return forecast.later > forecast.level ? 'growth' : 'load'
}

const clamp = (value: number, { profile: { min, max } }: ScalingInput): number => Math.min(max, Math.max(min, value))

/**
 * What a failure domain that is out keeps: its last order, since it may come back at once; only its minimum if it stays
 * out, nothing runs there and the others carry the demand.
 */
const endpointsOut = ({ input, needed, history }: Assessment, { domain, ordered }: DomainEndpoints, canCarry: boolean): number => {
  const since = history.outSince.get(domain) ?? input.now
  const isIdle = currentSamples(input).every((sample) => sample.domain !== domain || sample.running === 0)
  const isReleased = canCarry && isIdle && input.now - since >= OUT_PERIOD && needed > 0
  return isReleased ? input.profile.min : clamp(ordered, input)
}

const orderedIn = (domains: readonly DomainEndpoints[], input: ScalingInput): ReadonlyMap<DomainId, number> =>
  new Map(domains.map(({ domain, ordered }) => [domain, clamp(ordered, input)]))

/** Wanted numbers of the failure domains that are in service, and why. */
const planLive = (assessment: Assessment): { readonly endpoints: ReadonlyMap<DomainId, number>, readonly reason: ScalingReason } => {
  const { input, live, needed, lately } = assessment
  const ordered = orderedIn(live, input)
  const wanted = divideEndpoints(needed, input.profile, ordered)
  const lasting = divideEndpoints(Math.max(needed, lately), input.profile, ordered)
  const isRise = [...wanted].some(([domain, count]) => count > ordered.get(domain)!)
  const isFall = [...wanted].some(([domain, count]) => count < ordered.get(domain)!)
  const held = holdReason(assessment)
  const fall = limitFall({ live, ordered, lasting, needed: lately, held })
  const endpoints = new Map([...ordered].map(([domain, count]) =>
    [domain, Math.max(wanted.get(domain)!, Math.min(count, fall.endpoints.get(domain)!))]))
  if (isRise) return { endpoints, reason: riseReason(assessment) }
  if (live.some(({ domain, ordered: last }) => ordered.get(domain) !== last)) return { endpoints, reason: 'limits' }
  if (!isFall) return { endpoints, reason: 'steady' }
  return { endpoints, reason: fall.reason }
}

/**
 * Plans the number of endpoints of one service in each failure domain, from the load of all instances: enough for the
 * demand that is to be expected when endpoints ordered now will serve. Failure domains share it evenly; one that is out
 * counts for nothing. More are wanted at once; fewer only when a lower need has lasted, the samples are complete, no move
 * is under way, and the endpoints that carry the rest serve already.
 *
 * @example
 * const { endpoints, reason, history } = planEndpoints({ ...input, history: EMPTY_HISTORY })
 */
export const planEndpoints = (input: ScalingInput): ScalingPlan => {
  const assessment = assess(input)
  const { live, demand, forecast, needed, history } = assessment
  const canCarry = live.length > 0 && needed <= live.length * input.profile.max && holdReason(assessment) === undefined
  const { endpoints, reason } = planLive(assessment)
  const out = input.domains.filter(({ isOut }) => isOut)
  return {
    endpoints: new Map([...endpoints, ...out.map((domain) => [domain.domain, endpointsOut(assessment, domain, canCarry)] as const)]),
    reason: reason === 'steady' && out.length > 0 ? 'domain-out' : reason,
    demand: demand.calls,
    forecast: forecast.later,
    needed,
    history
  }
}

import { MILLIS_PER_SECOND } from '@papayahill/common'
import {
  FIRST_CALLS, FIRST_SHARE, MAX_SHARE, MIN_DWELL, MIN_TRAFFIC_OBSERVATION, PROBE_SHARE_MAX, STEP_CALLS, STEP_FACTORS, TARGET_TIME_FRACTION
} from './constants.js'

/** Progress of one route towards enough evidence. */
export interface RouteProgress {
  readonly name: string
  /** Calls per second to both versions since the move began. */
  readonly rate: number
  readonly newCalls: number
  readonly newCallsAtShare: number
}

/** Input of {@link planStep}; times are wall-clock times in milliseconds. */
export interface StepState {
  readonly now: number
  readonly begunAt: number
  readonly by: number
  readonly steppedAt: number
  readonly share: number
  readonly routes: readonly RouteProgress[]
  /** Description of evidence against the new version that does not suffice for a rollback. */
  readonly holdReason: string | undefined
  /** Highest share that the new version's slots can serve. */
  readonly capacityShare: number
}

export type StepDecision =
  | { readonly kind: 'hold', readonly state: 'moving' | 'waiting-for-traffic' | 'waiting-for-capacity', readonly because: string }
  | { readonly kind: 'step', readonly share: number, readonly because: string }
  | { readonly kind: 'done', readonly because: string }

/** Fraction of the time until the target that the probing phase may take. */
const PROBE_TIME_FRACTION = 0.25
/** Smallest factor by which a step raises the share. */
const MIN_RAISE = 1.2

const percent = (share: number): string => `${Math.round(share * 1000) / 10}%`
const hold = (because: string): StepDecision => ({ kind: 'hold', state: 'moving', because })
const targetTime = ({ begunAt, by }: StepState): number => begunAt + TARGET_TIME_FRACTION * (by - begunAt)
const isProbing = ({ share }: StepState): boolean => share <= PROBE_SHARE_MAX

const slowestOf = (routes: readonly RouteProgress[]): RouteProgress =>
  routes.reduce((slowest, route) => route.rate < slowest.rate ? route : slowest)

/** Calls of a route that the fastest sequence of steps to completion needs. */
const remainingCalls = (state: StepState, route: RouteProgress): number => {
  const probe = isProbing(state) ? Math.max(0, FIRST_CALLS - route.newCalls) / PROBE_SHARE_MAX : 0
  const largest = STEP_FACTORS[STEP_FACTORS.length - 1]!
  const shares = [Math.min(MAX_SHARE, Math.max(state.share, PROBE_SHARE_MAX) * largest), MAX_SHARE]
  return probe + shares.reduce((calls, share) => calls + STEP_CALLS / share, 0)
}

/** Describes traffic that is too low to complete in time, as soon as the rate can be estimated. */
const describeThinTraffic = (state: StepState): string | undefined => {
  if (state.now - state.begunAt < MIN_TRAFFIC_OBSERVATION) return undefined
  if (state.routes.length === 0) return 'no call to the service has been seen since the move began'
  if (state.share >= MAX_SHARE) return undefined
  const slowest = slowestOf(state.routes)
  const needed = remainingCalls(state, slowest)
  const seconds = Math.max(0, state.by - state.now) / MILLIS_PER_SECOND
  if (slowest.rate * seconds >= needed) return undefined
  return `${slowest.name} has ${slowest.rate.toFixed(2)} calls/s; ${Math.ceil(needed)} more calls are needed to judge it` +
    ` and ${Math.floor(slowest.rate * seconds)} are expected by the deadline`
}

/** The probing share at which the slowest route completes its first calls in time. */
const probeShare = (state: StepState): number => {
  if (state.routes.length === 0) return FIRST_SHARE
  const span = PROBE_TIME_FRACTION * (targetTime(state) - state.begunAt) / MILLIS_PER_SECOND
  const neededShare = FIRST_CALLS / (slowestOf(state.routes).rate * span)
  return Math.min(PROBE_SHARE_MAX, Math.max(FIRST_SHARE, neededShare))
}

/** Describes the first route that still needs calls at this share. */
const describeMissingCalls = (state: StepState): string | undefined => {
  const needed = isProbing(state) ? FIRST_CALLS : STEP_CALLS
  const callsOf = (route: RouteProgress): number => isProbing(state) ? route.newCalls : route.newCallsAtShare
  const lacking = state.routes.find((route) => callsOf(route) < needed)
  return lacking === undefined ? undefined : `${lacking.name} has shown ${callsOf(lacking)} of ${needed} calls at ${percent(state.share)}`
}

/** Time in milliseconds that the slowest route needs for {@link STEP_CALLS} calls at a share. */
const evidenceTime = (state: StepState, share: number): number =>
  Math.max(MIN_DWELL, STEP_CALLS / (slowestOf(state.routes).rate * share) * MILLIS_PER_SECOND)

/** The shares that follow this one if each is `factor` times the previous one. */
const remainingShares = (share: number, factor: number): readonly number[] => {
  const shares: number[] = []
  for (let next = share; next < MAX_SHARE;) {
    next = Math.min(MAX_SHARE, next * factor)
    shares.push(next)
  }
  return shares
}

interface Pace {
  readonly factor: number
  /** Time to stay at this share, in milliseconds. */
  readonly dwell: number
}

/** The smallest factor whose remaining steps fit into the remaining time, with time for evidence at each. */
const choosePace = (state: StepState): Pace => {
  const time = targetTime(state) - state.steppedAt
  const paces = STEP_FACTORS.map((factor) => {
    const after = remainingShares(state.share, factor)
    const needed = after.reduce((sum, share) => sum + evidenceTime(state, share), 0)
    return { factor, dwell: Math.min(time / (after.length + 1), time - needed) }
  })
  const fastest = { factor: STEP_FACTORS[STEP_FACTORS.length - 1]!, dwell: MIN_DWELL }
  const elapsed = state.now - state.steppedAt
  return paces.find(({ dwell }) => dwell >= Math.max(MIN_DWELL, elapsed)) ?? paces.find(({ dwell }) => dwell >= MIN_DWELL) ?? fastest
}

const raiseShare = (state: StepState, factor: number): StepDecision => {
  const targetShare = Math.min(MAX_SHARE, state.share * factor)
  const share = Math.min(targetShare, state.capacityShare)
  if (share < targetShare && share < state.share * MIN_RAISE) {
    const because = `the new version's slots can serve ${percent(state.capacityShare)} of the traffic; the next step is ${percent(targetShare)}`
    return { kind: 'hold', state: 'waiting-for-capacity', because }
  }
  return { kind: 'step', share, because: `every route showed good calls at ${percent(state.share)}` }
}

const planFirstStep = (state: StepState): StepDecision => {
  if (state.capacityShare >= FIRST_SHARE) return { kind: 'step', share: FIRST_SHARE, because: 'the move begins' }
  return { kind: 'hold', state: 'waiting-for-capacity', because: 'no endpoint of the new version takes work yet' }
}

const planNextStep = (state: StepState): StepDecision => {
  if (state.holdReason !== undefined) return hold(`held at ${percent(state.share)}: ${state.holdReason}`)
  const probe = Math.min(probeShare(state), state.capacityShare)
  const lacking = describeMissingCalls(state)
  if (lacking !== undefined && isProbing(state) && probe >= state.share * MIN_RAISE) {
    return { kind: 'step', share: probe, because: `${lacking}; more is needed to judge in time` }
  }
  if (lacking !== undefined) return hold(lacking)
  const { factor, dwell } = choosePace(state)
  const remaining = dwell - (state.now - state.steppedAt)
  if (remaining > 0) return hold(`good at ${percent(state.share)}; observed for ${Math.ceil(remaining / MILLIS_PER_SECOND)} s more`)
  if (state.share < MAX_SHARE) return raiseShare(state, factor)
  return { kind: 'done', because: `every route showed good calls up to ${percent(state.share)}` }
}

/**
 * Decides the next step of a move from the remaining time, the evidence per route and the capacity.
 *
 * @example
 * planStep({ now, begunAt, by, steppedAt, share: 0.02, routes, holdReason: undefined, capacityShare: 1 })
 */
export const planStep = (state: StepState): StepDecision => {
  if (state.share === 0) return planFirstStep(state)
  const thin = describeThinTraffic(state)
  const decision = state.routes.length === 0 ? hold('waiting for the first calls') : planNextStep(state)
  if (thin === undefined || decision.kind !== 'hold') return decision
  return { kind: 'hold', state: 'waiting-for-traffic', because: thin }
}

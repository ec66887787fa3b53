import { MILLIS_PER_SECOND } from '@papayahill/common'
import {
  AIM_PART, FIRST_CALLS, FIRST_SHARE, MIN_DWELL, PROBE_SHARE_MAX, STEP_CALLS, STEP_FACTORS, TOP_SHARE, TRAFFIC_WATCH
} from './constants.js'

/** How far one route's evidence has come. */
export interface RouteProgress {
  readonly name: string
  /** Calls a second to both versions, since the move began. */
  readonly rate: number
  readonly newCalls: number
  readonly newCallsAtShare: number
}

/** All that a step depends on; times are calendar times in milliseconds. */
export interface StepState {
  readonly now: number
  readonly begunAt: number
  readonly by: number
  readonly steppedAt: number
  readonly share: number
  readonly routes: readonly RouteProgress[]
  /** Evidence that speaks against the new version without sufficing, in words. */
  readonly doubt: string | undefined
  /** Highest share that the new version's slots allow. */
  readonly capacityShare: number
}

export type StepDecision =
  | { readonly kind: 'hold', readonly state: 'moving' | 'waiting-for-traffic' | 'waiting-for-capacity', readonly because: string }
  | { readonly kind: 'step', readonly share: number, readonly because: string }
  | { readonly kind: 'done', readonly because: string }

/** Part of the time to the aim that the first calls may take. */
const PROBE_PART = 0.25
/** A smaller raise is not worth a step. */
const MIN_RAISE = 1.2

const percent = (share: number): string => `${Math.round(share * 1000) / 10}%`
const hold = (because: string): StepDecision => ({ kind: 'hold', state: 'moving', because })
const aimOf = ({ begunAt, by }: StepState): number => begunAt + AIM_PART * (by - begunAt)
const isProbing = ({ share }: StepState): boolean => share <= PROBE_SHARE_MAX

const slowestOf = (routes: readonly RouteProgress[]): RouteProgress =>
  routes.reduce((slowest, route) => route.rate < slowest.rate ? route : slowest)

/** Calls of a route that the shortest careful way to the end takes. */
const callsToGo = (state: StepState, route: RouteProgress): number => {
  const probe = isProbing(state) ? Math.max(0, FIRST_CALLS - route.newCalls) / PROBE_SHARE_MAX : 0
  const largest = STEP_FACTORS[STEP_FACTORS.length - 1]!
  const shares = [Math.min(TOP_SHARE, Math.max(state.share, PROBE_SHARE_MAX) * largest), TOP_SHARE]
  return probe + shares.reduce((calls, share) => calls + STEP_CALLS / share, 0)
}

/** Says that traffic is too thin to be done in time, as early as the rate can be known. */
const describeThinTraffic = (state: StepState): string | undefined => {
  if (state.now - state.begunAt < TRAFFIC_WATCH) return undefined
  if (state.routes.length === 0) return 'no call to the service has been seen since the move began'
  if (state.share >= TOP_SHARE) return undefined
  const slowest = slowestOf(state.routes)
  const needed = callsToGo(state, slowest)
  const seconds = Math.max(0, state.by - state.now) / MILLIS_PER_SECOND
  if (slowest.rate * seconds >= needed) return undefined
  return `${slowest.name} has ${slowest.rate.toFixed(2)} calls/s; ${Math.ceil(needed)} more calls are needed to judge it` +
    ` and ${Math.floor(slowest.rate * seconds)} are to be expected by the time set`
}

/** What the first, small share must be for the slowest route to show its first calls soon enough. */
const probeShare = (state: StepState): number => {
  if (state.routes.length === 0) return FIRST_SHARE
  const span = PROBE_PART * (aimOf(state) - state.begunAt) / MILLIS_PER_SECOND
  const wanted = FIRST_CALLS / (slowestOf(state.routes).rate * span)
  return Math.min(PROBE_SHARE_MAX, Math.max(FIRST_SHARE, wanted))
}

/** The route that still lacks calls at this share. */
const lackingRoute = (state: StepState): string | undefined => {
  const needed = isProbing(state) ? FIRST_CALLS : STEP_CALLS
  const shown = (route: RouteProgress): number => isProbing(state) ? route.newCalls : route.newCallsAtShare
  const lacking = state.routes.find((route) => shown(route) < needed)
  return lacking === undefined ? undefined : `${lacking.name} has shown ${shown(lacking)} of ${needed} calls at ${percent(state.share)}`
}

/** Time that the slowest route takes to show its calls at a share. */
const evidenceTime = (state: StepState, share: number): number =>
  Math.max(MIN_DWELL, STEP_CALLS / (slowestOf(state.routes).rate * share) * MILLIS_PER_SECOND)

/** The shares that come after this one when each is `factor` times the one before. */
const sharesAfter = (share: number, factor: number): readonly number[] => {
  const shares: number[] = []
  for (let next = share; next < TOP_SHARE;) {
    next = Math.min(TOP_SHARE, next * factor)
    shares.push(next)
  }
  return shares
}

interface Pace {
  readonly factor: number
  /** Time to stay at this share, in milliseconds. */
  readonly dwell: number
}

/** The smallest factor whose steps fit into the time left, each with time for its evidence. */
const paceOf = (state: StepState): Pace => {
  const time = aimOf(state) - state.steppedAt
  const paces = STEP_FACTORS.map((factor) => {
    const after = sharesAfter(state.share, factor)
    const needed = after.reduce((sum, share) => sum + evidenceTime(state, share), 0)
    return { factor, dwell: Math.min(time / (after.length + 1), time - needed) }
  })
  const fastest = { factor: STEP_FACTORS[STEP_FACTORS.length - 1]!, dwell: MIN_DWELL }
  const passed = state.now - state.steppedAt
  return paces.find(({ dwell }) => dwell >= Math.max(MIN_DWELL, passed)) ?? paces.find(({ dwell }) => dwell >= MIN_DWELL) ?? fastest
}

const raise = (state: StepState, factor: number): StepDecision => {
  const wanted = Math.min(TOP_SHARE, state.share * factor)
  const share = Math.min(wanted, state.capacityShare)
  if (share < wanted && share < state.share * MIN_RAISE) {
    const because = `the new version's slots bear ${percent(state.capacityShare)} of the traffic; ${percent(wanted)} comes next`
    return { kind: 'hold', state: 'waiting-for-capacity', because }
  }
  return { kind: 'step', share, because: `every route showed good calls at ${percent(state.share)}` }
}

const begin = (state: StepState): StepDecision => {
  if (state.capacityShare >= FIRST_SHARE) return { kind: 'step', share: FIRST_SHARE, because: 'the move begins' }
  return { kind: 'hold', state: 'waiting-for-capacity', because: 'no endpoint of the new version takes work yet' }
}

const judgeStep = (state: StepState): StepDecision => {
  if (state.doubt !== undefined) return hold(`held at ${percent(state.share)}: ${state.doubt}`)
  const probe = Math.min(probeShare(state), state.capacityShare)
  const lacking = lackingRoute(state)
  if (lacking !== undefined && isProbing(state) && probe >= state.share * MIN_RAISE) {
    return { kind: 'step', share: probe, because: `${lacking}; more is needed to judge in time` }
  }
  if (lacking !== undefined) return hold(lacking)
  const { factor, dwell } = paceOf(state)
  const rest = dwell - (state.now - state.steppedAt)
  if (rest > 0) return hold(`good at ${percent(state.share)}; watched ${Math.ceil(rest / MILLIS_PER_SECOND)} s more`)
  if (state.share < TOP_SHARE) return raise(state, factor)
  return { kind: 'done', because: `every route showed good calls up to ${percent(state.share)}` }
}

/**
 * Decides the next step of a move from the time left, the evidence per route and the capacity.
 *
 * @example
 * planStep({ now, begunAt, by, steppedAt, share: 0.02, routes, doubt: undefined, capacityShare: 1 })
 */
export const planStep = (state: StepState): StepDecision => {
  if (state.share === 0) return begin(state)
  const thin = describeThinTraffic(state)
  const decision = state.routes.length === 0 ? hold('waiting for the first calls') : judgeStep(state)
  if (thin === undefined || decision.kind !== 'hold') return decision
  return { kind: 'hold', state: 'waiting-for-traffic', because: thin }
}

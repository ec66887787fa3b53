import { millis, MILLIS_PER_SECOND, seconds } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import { LimitHarness } from '@papayahill/limits'
import type { LimitPolicy } from '@papayahill/limits'
import type { Bench, BenchOptions, Figures } from '../types.js'

/** Seed of the baselines, which have neither faults nor changes. */
const BASELINE_SEED = 1

/** Requests per second that endpoints name. */
const LIMITS = [1, 5, 0.2, 20, 200] as const
const ENDPOINTS = 3
/** Callers' requests as a multiple of all limits, and at least this many per second of each instance. */
const LOAD = 2
const MIN_INSTANCE_LOAD = 1
/** Time for the first answers to spread, in which the platform does not judge either. */
const SETTLE = seconds(5)
const FAULT_SPAN = seconds(6)
const RECOVERY_SPAN = seconds(10)
/** Bounds on the time until all instances know that a limit has ended, as a time and in requests. */
const MIN_END_TIME = seconds(4)
const END_REQUESTS = 2

interface Scenario {
  readonly harness: LimitHarness
  readonly perSecond: number
}

/** A fault, from its begin to its end. */
type Fault = (scenario: Scenario) => Promise<void>

const halvesOf = ({ instances }: LimitHarness): readonly [LimitHarness['instances'], LimitHarness['instances']] =>
  [instances.filter((_instance, at) => at % 2 === 0), instances.filter((_instance, at) => at % 2 === 1)]

const cut = async ({ clock }: LimitHarness, setCut: (isCut: boolean) => void): Promise<void> => {
  setCut(true)
  await clock.advance(FAULT_SPAN)
  setCut(false)
}

const nameAll = ({ servers }: LimitHarness, perSecond: number | undefined): void => {
  for (const server of servers) server.name(perSecond)
}

/** Faults in the order of the seeds. */
const FAULTS = {
  none: async ({ harness }) => await harness.clock.advance(FAULT_SPAN),
  restarts: async ({ harness }) => {
    const restarted = harness.instances.filter((_instance, at) => at % 3 === 0)
    for (const instance of restarted) {
      const at = harness.instances.indexOf(instance)
      harness.kill(at)
      await harness.clock.advance(millis(FAULT_SPAN / restarted.length))
      harness.restart(at)
    }
  },
  joins: async ({ harness }) => {
    const { length } = harness.instances
    const added = Math.ceil(length / 4)
    for (let at = length; at < length + added; at++) {
      harness.restart(at)
      await harness.clock.advance(millis(FAULT_SPAN / added))
    }
  },
  cut: async ({ harness }) => await cut(harness, (isCut) => harness.setPartition(...halvesOf(harness), isCut)),
  'no-links': async ({ harness }) => await cut(harness, (isCut) => harness.setPartition(harness.instances, harness.instances, isCut)),
  freezes: async ({ harness }) => {
    const frozen = harness.instances.flatMap((_instance, at) => at % 2 === 0 ? [harness.freeze(at, FAULT_SPAN)] : [])
    await harness.clock.advance(FAULT_SPAN)
    await Promise.all(frozen)
  },
  changes: async ({ harness, perSecond }) => {
    for (const factor of [2, 0.5, 1]) {
      nameAll(harness, perSecond * factor)
      await harness.clock.advance(millis(FAULT_SPAN / 3))
    }
  }
} as const satisfies Readonly<Record<string, Fault>>

type FaultName = keyof typeof FAULTS
const FAULT_NAMES = Object.keys(FAULTS) as readonly FaultName[]
/** Faults during which part of the shares cannot be used, on purpose: their holders may be alive behind a cut. */
const SHARES_UNREACHABLE: ReadonlySet<FaultName> = new Set<FaultName>(['cut', 'no-links', 'freezes'])

const arrivalsSince = ({ servers }: LimitHarness, from: Millis): number =>
  servers.reduce((sum, server) => sum + server.arrivalsSince(from), 0)

const worstOf = ({ servers }: LimitHarness, among: 'told' | 'all'): number =>
  Math.max(...servers.map((server) => server.worstShareOfBound(among)))

interface Measures {
  readonly worstShareOfBound: number
  readonly worstShareOfBoundAll: number
  readonly usedShare: number
  readonly endTimeRatio: number
  readonly bytesPerInstanceSecond: number
  readonly refusedShareBesideFree: number
}

/** The time until all instances know that the limits have ended, as a share of the time that it may take. */
const endTimeRatio = async ({ harness, perSecond }: Scenario): Promise<number> => {
  const begunAt = harness.clock.now()
  const bound = Math.max(MIN_END_TIME, END_REQUESTS * MILLIS_PER_SECOND / perSecond)
  nameAll(harness, undefined)
  const isKnown = await harness.clock.advanceUntil(() => harness.isUnlimited, millis(2 * bound))
  return isKnown ? (harness.clock.now() - begunAt) / bound : 2
}

const newHarness = (instances: number, seed: number, perSecond: number, policy: LimitPolicy): LimitHarness => new LimitHarness({
  instances, endpoints: ENDPOINTS, requestsPerSecond: Math.max(LOAD * ENDPOINTS * perSecond, MIN_INSTANCE_LOAD * instances), seed, policy
})

const measureLimited = async (instances: number, seed: number, policy: LimitPolicy): Promise<Omit<Measures, 'refusedShareBesideFree'>> => {
  const perSecond = LIMITS[(seed - 1) % LIMITS.length]!
  const name = FAULT_NAMES[(seed - 1) % FAULT_NAMES.length]!
  const harness = newHarness(instances, seed, perSecond, policy)
  const scenario = { harness, perSecond }
  const { clock } = harness
  await harness.start()
  nameAll(harness, perSecond)
  await clock.advance(SETTLE)
  const bytes = harness.controlBytes
  const begunAt = clock.now()
  await FAULTS[name](scenario)
  // After a restart the counts of an instance's traffic begin anew.
  const bytesPerInstanceSecond = Math.max(0, harness.controlBytes - bytes) * MILLIS_PER_SECOND / (clock.now() - begunAt)
  const from = SHARES_UNREACHABLE.has(name) || name === 'changes' ? clock.now() : begunAt
  await clock.advance(RECOVERY_SPAN)
  const usedShare = arrivalsSince(harness, from) * MILLIS_PER_SECOND / (perSecond * ENDPOINTS * (clock.now() - from))
  return {
    usedShare,
    bytesPerInstanceSecond,
    endTimeRatio: await endTimeRatio(scenario),
    worstShareOfBound: worstOf(harness, 'told'),
    worstShareOfBoundAll: worstOf(harness, 'all')
  }
}

/** Share of the callers that are refused although one of the endpoints has no limit. */
const refusedShareBesideFree = async (instances: number, seed: number): Promise<number> => {
  const harness = newHarness(instances, seed, LIMITS[(seed - 1) % LIMITS.length]!, 'shared')
  await harness.start()
  for (const server of harness.servers.slice(1)) server.name(LIMITS[(seed - 1) % LIMITS.length])
  await harness.clock.advance(RECOVERY_SPAN)
  return harness.refused / (harness.refused + harness.served)
}

/** Figures of which the lowest counts; of the others the highest does. */
const LOWEST: ReadonlySet<string> = new Set(['usedShare'])

const worseOf = (name: string, left: number | undefined, right: number): number => {
  if (left === undefined) return right
  return LOWEST.has(name) ? Math.min(left, right) : Math.max(left, right)
}

/** The worst figures of each size over all seeds; `maxSeeds` bounds the seeds of each size. */
export const measureLimits = async (maxSeeds: ReadonlyMap<number, number>, { seed, seeds }: BenchOptions): Promise<Figures> => {
  const figures: Record<string, number> = {}
  for (const [size, most] of maxSeeds) {
    for (let at = seed; at < seed + Math.min(seeds, most); at++) {
      const measures: Measures = {
        ...await measureLimited(size, at, 'shared'), refusedShareBesideFree: await refusedShareBesideFree(size, at)
      }
      for (const [name, value] of Object.entries(measures)) {
        figures[`${name}At${size}`] = worseOf(name, figures[`${name}At${size}`], value as number)
      }
    }
  }
  return figures
}

/** The same scenario without faults, under a simpler policy. */
export const measureBaseline = async (policy: LimitPolicy, sizes: readonly number[]): Promise<Figures> => {
  const figures: Record<string, number> = {}
  for (const size of sizes) {
    const measures = await measureLimited(size, BASELINE_SEED, policy)
    for (const [name, value] of Object.entries(measures)) figures[`${name}At${size}`] = value
  }
  return figures
}

const boundsAt = (size: number): Bench['bounds'] => ({
  [`worstShareOfBoundAt${size}`]: { max: 1 },
  [`usedShareAt${size}`]: { min: 0.8 },
  [`endTimeRatioAt${size}`]: { max: 1 },
  [`bytesPerInstanceSecondAt${size}`]: { max: 3072 },
  [`refusedShareBesideFreeAt${size}`]: { max: 0 }
})

export const limitBounds = (sizes: Iterable<number>): Bench['bounds'] => Object.assign({}, ...[...sizes].map(boundsAt)) as Bench['bounds']

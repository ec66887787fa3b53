import { brand, hash64, millis, MILLIS_PER_SECOND, seconds, SeededRandom, SILENT_LOG, VirtualClock } from '@papayahill/common'
import type { InstanceId, Millis } from '@papayahill/common'
import { partIdOf, QuarantineHarness, QuarantineManager, scopeIdOf } from '@papayahill/quarantine'
import type { DeadlyKind, QuarantinePolicy, SentRequest } from '@papayahill/quarantine'
import { heapAfterGc } from '../load/heapAfterGc.js'
import type { Bench, BenchOptions, Figures } from '../types.js'

/** Size of a scenario: instances, engines, and requests per second of all callers. */
export interface QuarantineSize {
  readonly instances: number
  readonly engines: number
  readonly requestsPerSecond: number
  /** Max seeds for deadly parts, and for each kind of deadly requests. */
  readonly maxSeeds: number
  readonly maxRequestSeeds: number
}

/** The platform's bound: after so many crashes and the contact time, hardly any deadly request may reach engines. */
const BOUNDED_CRASHES: Readonly<Record<DeadlyKind, number>> = { part: 5, request: 3, 'request-midway': 3 }
/** What the figures of each kind begin with. */
const PREFIXES: Readonly<Record<DeadlyKind, string>> = { part: '', request: 'request.', 'request-midway': 'midway.' }
const KINDS = Object.keys(BOUNDED_CRASHES) as readonly DeadlyKind[]
const CONTACT = seconds(3)
const SOUND_SPAN = seconds(6)
const TAINTED_SPAN = seconds(20)
const FAULT_SPAN = seconds(6)
/** Shares of deadly requests and numbers of deadly parts, by seed. */
const DEADLY_SHARES = [0.05, 0.3, 0.002, 0.1, 0.01] as const
const DEADLY_PARTS = [1, 3, 1, 1] as const
/** Seed of the baselines, which have no other faults. */
const BASELINE_SEED = 1
/** Time between two crashes of a storm. */
const STORM_GAP = millis(150)
const WORKSPACES = 12_000
const PARTS_PER_WORKSPACE = 20

/** A fault, from its begin to its end. */
type Fault = (harness: QuarantineHarness) => Promise<void>

type Sides = readonly [QuarantineHarness['instances'], QuarantineHarness['instances']]

const halvesOf = ({ instances }: QuarantineHarness): Sides =>
  [instances.filter((_instance, at) => at % 2 === 0), instances.filter((_instance, at) => at % 2 === 1)]

const cut = async (harness: QuarantineHarness, sides: Sides): Promise<void> => {
  harness.setPartition(...sides, true)
  await harness.clock.advance(FAULT_SPAN)
  harness.setPartition(...sides, false)
}

/** Crashes engines at random, without regard to what they run. */
const storm: Fault = async ({ clock, engines }) => {
  const random = new SeededRandom(engines.length)
  for (let passed = 0; passed < FAULT_SPAN; passed += STORM_GAP) {
    engines[random.below(engines.length)]!.crash()
    await clock.advance(STORM_GAP)
  }
}

/** Faults in the order of the seeds. */
const FAULTS = {
  none: async ({ clock }) => await clock.advance(FAULT_SPAN),
  restarts: async (harness) => {
    const restarted = harness.instances.filter((_instance, at) => at % 3 === 0)
    for (const instance of restarted) {
      const at = harness.instances.indexOf(instance)
      harness.kill(at)
      await harness.clock.advance(millis(FAULT_SPAN / restarted.length))
      harness.restart(at)
    }
  },
  joins: async (harness) => {
    const { length } = harness.instances
    const added = Math.ceil(length / 4)
    for (let at = length; at < length + added; at++) {
      harness.restart(at)
      await harness.clock.advance(millis(FAULT_SPAN / added))
    }
  },
  cut: async (harness) => await cut(harness, halvesOf(harness)),
  'no-links': async (harness) => await cut(harness, [harness.instances, harness.instances]),
  freezes: async (harness) => {
    const frozen = harness.instances.flatMap((_instance, at) => at % 3 === 0 ? [harness.freeze(at, FAULT_SPAN)] : [])
    await harness.clock.advance(FAULT_SPAN)
    await Promise.all(frozen)
  },
  'bad-version': async (harness) => {
    const added = Array.from({ length: Math.ceil(harness.engines.length / 10) }, () => harness.addEngine('v2'))
    for (const engine of added) engine.isBroken = true
    await harness.clock.advance(FAULT_SPAN)
  },
  storm
} as const satisfies Readonly<Record<string, Fault>>

type FaultName = keyof typeof FAULTS
const FAULT_NAMES = Object.keys(FAULTS) as readonly FaultName[]

interface Measures {
  /** Most crashes by one deadly part or request. */
  readonly crashes: number
  /** Requests that reached engines though the bound held. */
  readonly reachedAfterBound: number
  readonly soundBegun: number
  readonly falselyRefusedShare: number
  readonly allKnowMs: number
  readonly bytesPerInstanceSecond: number
}

/** Requests from which a share can be told, as the platform counts. */
const MIN_REQUESTS = 20

const shareOf = (requests: readonly SentRequest[], isCounted: (request: SentRequest) => boolean): number =>
  requests.filter(isCounted).length / Math.max(1, requests.length)

/** Time from which the bound holds for a part or request: the contact time after its last allowed crash; Infinity before that. */
const boundedFrom = ({ crashes }: QuarantineHarness, kind: DeadlyKind, part: SentRequest['deadly']): number =>
  (crashes.filter((crash) => crash.part === part)[BOUNDED_CRASHES[kind] - 1]?.at ?? Infinity) + CONTACT

const reachedOf = (harness: QuarantineHarness, kind: DeadlyKind): number => Math.max(0, ...harness.deadly.map((part) => {
  const from = boundedFrom(harness, kind, part)
  return harness.arrivals.filter(({ at, deadly, isInTouch }) => deadly === part && isInTouch && at > from).length
}))

/** One scenario: its size and seed, what is deadly, what instances remember, and the fault beside it. */
interface Scenario {
  readonly size: QuarantineSize
  readonly seed: number
  readonly kind: DeadlyKind
  readonly policy: QuarantinePolicy
  readonly fault: FaultName
}

const measureScenario = async ({ size, seed, kind, policy, fault }: Scenario): Promise<Measures> => {
  const { instances, engines, requestsPerSecond } = size
  const deadlyShare = DEADLY_SHARES[(seed - 1) % DEADLY_SHARES.length]!
  const deadlyParts = DEADLY_PARTS[(seed - 1) % DEADLY_PARTS.length]!
  const harness = new QuarantineHarness({ instances, engines, requestsPerSecond, kind, deadlyShare, deadlyParts, seed, policy })
  const { clock } = harness
  await harness.start()
  await clock.advance(SOUND_SPAN)
  const bytes = harness.publishedBytes
  const taintedAt = clock.now()
  harness.isTainted = fault !== 'storm'
  await FAULTS[fault](harness)
  await clock.advance(millis(TAINTED_SPAN - FAULT_SPAN))
  const sound = harness.sent.filter(({ deadly }) => deadly === undefined)
  const before = sound.filter(({ at }) => at < taintedAt)
  const own = harness.crashes.filter(({ part }) => part !== undefined)
  const settledAt = Math.max(taintedAt + FAULT_SPAN, own[BOUNDED_CRASHES[kind] - 1]?.at ?? own.at(-1)?.at ?? taintedAt) + 2 * CONTACT
  const settled = sound.filter(({ at }) => at > settledAt && at < clock.now() - MILLIS_PER_SECOND)
  const known = harness.instances.filter(({ isInTouch }) => isInTouch).flatMap(({ quarantinedAt }) => quarantinedAt ?? [])
  const begunShare = (requests: readonly SentRequest[]): number => shareOf(requests, ({ hasBegun }) => hasBegun)
  return {
    crashes: Math.max(0, ...harness.deadly.map((part) => own.filter((crash) => crash.part === part).length)),
    reachedAfterBound: reachedOf(harness, kind),
    soundBegun: settled.length < MIN_REQUESTS ? 1 : begunShare(settled) / begunShare(before),
    falselyRefusedShare: shareOf(sound, ({ isRefused }) => isRefused),
    allKnowMs: known.length === 0 ? 0 : Math.max(...known) - Math.min(...known),
    bytesPerInstanceSecond: Math.max(0, harness.publishedBytes - bytes) * MILLIS_PER_SECOND / TAINTED_SPAN
  }
}

/** Faults during which instances cannot tell each other what they saw. */
const UNTOLD: ReadonlySet<FaultName> = new Set<FaultName>(['cut', 'no-links', 'freezes', 'restarts', 'joins'])

/** Figures of which the lowest counts; of the others the highest does. */
const LOWEST: ReadonlySet<string> = new Set(['soundBegun'])

const worseOf = (name: string, left: number | undefined, right: number): number => {
  if (left === undefined) return right
  return LOWEST.has(name) ? Math.min(left, right) : Math.max(left, right)
}

/** The worst figures of one kind and size over all seeds. */
const measureKind = async (size: QuarantineSize, kind: DeadlyKind, { seed, seeds }: BenchOptions): Promise<Figures> => {
  const figures: Record<string, number> = {}
  const most = kind === 'part' ? size.maxSeeds : size.maxRequestSeeds
  for (let at = seed; at < seed + Math.min(seeds, most); at++) {
    const scenario = { size, seed: at, kind, fault: FAULT_NAMES[(at - 1) % FAULT_NAMES.length]! }
    const { allKnowMs, falselyRefusedShare, ...others } = await measureScenario({ ...scenario, policy: 'shared' })
    // What instances publish in the same scenario without quarantines is membership, not the cost of these.
    const { bytesPerInstanceSecond: membership } = await measureScenario({ ...scenario, policy: 'none' })
    const measures: Record<string, number> = {
      ...others, bytesPerInstanceSecond: Math.max(0, others.bytesPerInstanceSecond - membership)
    }
    if (!UNTOLD.has(scenario.fault)) measures.allKnowMs = allKnowMs
    measures[scenario.fault === 'storm' ? 'falselyRefusedInStorms' : 'falselyRefusedShare'] = falselyRefusedShare
    for (const [figure, value] of Object.entries(measures)) {
      const key = `${PREFIXES[kind]}${figure}At${size.instances}`
      figures[key] = worseOf(figure, figures[key], value)
    }
  }
  return figures
}

/** The worst figures of each kind and size. */
export const measureQuarantine = async (sizes: readonly QuarantineSize[], options: BenchOptions): Promise<Figures> => {
  const figures: Record<string, number> = {}
  for (const size of sizes) for (const kind of KINDS) Object.assign(figures, await measureKind(size, kind, options))
  return figures
}

/** The scenario without other faults, under a simpler policy. */
export const measureQuarantineBaseline = async (policy: QuarantinePolicy, size: QuarantineSize, kind: DeadlyKind = 'part'): Promise<Figures> => {
  const measures = await measureScenario({ size, seed: BASELINE_SEED, kind, policy, fault: 'none' })
  return Object.fromEntries(Object.entries(measures).map(([name, value]) => [`${PREFIXES[kind]}${name}At${size.instances}`, value as number]))
}

/** Heap that one instance needs after workspaces have named random parts in begun answers and in lost calls. */
export const measureQuarantineHeap = async (): Promise<number> => {
  const clock = new VirtualClock()
  const self = brand<InstanceId>('i1')
  const before = heapAfterGc()
  const manager = new QuarantineManager({
    clock, random: new SeededRandom(1), log: SILENT_LOG, peers: { self, publish: () => {}, onEntry: () => {} }, instances: () => [self]
  })
  const scope = scopeIdOf(brand('pool'), 'v1', 'm')
  for (let at = 0; at < WORKSPACES * PARTS_PER_WORKSPACE; at++) {
    const parts = [partIdOf(hash64(`part ${at}`)), partIdOf(hash64(`other ${at}`))]
    if (at % 2 === 0) manager.noteBegun(scope, parts)
    else manager.noteLost({ scope, endpoint: brand(`e${at}`), incarnation: `e${at}` }, parts)
    if (at % 100 === 1) manager.confirmCrash(`e${at}`)
    if (at % 1000 === 0) await clock.advance(millis(1))
  }
  const heap = heapAfterGc() - before
  return manager.size >= 0 ? heap : 0
}

export const quarantineBounds = (sizes: readonly QuarantineSize[]): Bench['bounds'] => Object.fromEntries(
  sizes.flatMap(({ instances }) => Object.values(PREFIXES).flatMap((prefix) => [
    [`${prefix}reachedAfterBoundAt${instances}`, { max: 3 }],
    [`${prefix}soundBegunAt${instances}`, { min: 0.9 }],
    [`${prefix}falselyRefusedShareAt${instances}`, { max: 0.001 }],
    [`${prefix}falselyRefusedInStormsAt${instances}`, { max: 0 }],
    [`${prefix}allKnowMsAt${instances}`, { max: CONTACT satisfies Millis }],
    [`${prefix}bytesPerInstanceSecondAt${instances}`, { max: 3072 }]
  ])))

import { brand, millis, seconds, SeededRandom, SILENT_LOG, tokens, VirtualClock } from '@papayahill/common'
import type { DomainId, EndpointId, ServiceId } from '@papayahill/common'
import { Endpoint } from '@papayahill/directory'
import { EndpointPerformance } from '@papayahill/performance'
import type { Work } from '@papayahill/performance'
import { describe, expect, it } from 'vitest'
import { allowedSlowness } from './allowedSlowness.js'
import { answerTimeOf } from './answerTimeOf.js'
import { chooseLeastLoaded } from './chooseLeastLoaded.js'
import { PROMPT_WORK_KEY } from './constants.js'
import { EngineTracker } from './EngineTracker.js'
import type { ForwardContext } from './ForwardContext.js'
import { newRouteTimes } from './newRouteTimes.js'
import { RequestPlacement } from './RequestPlacement.js'
import type { CallCheck } from './CallQuarantine.js'
import type { ForwardRequest, PlacementCriteria, Prompt } from './types.js'

const SERVICE = brand<ServiceId>('orders')
const HALL = brand<DomainId>('hall')
const PLAIN: Work = { kind: 'plain', key: 'order', amount: 1 }
const PROMPT: Prompt = { model: 'm', tokensIn: tokens(1000), maxTokensOut: tokens(100), parts: [] }
const NO_EXCLUSIONS: ReadonlySet<EndpointId> = new Set()

const endpointOf = (id: string): Endpoint => new Endpoint({
  id: brand<EndpointId>(id),
  service: SERVICE,
  address: { ip: '10.0.0.1', port: 1 },
  domain: HALL,
  version: 'v1',
  slots: 8,
  isDraining: false,
  coldFor: millis(0),
  sequence: 1,
  startedAt: undefined
})

const setUp = (isReported: boolean) => {
  const clock = new VirtualClock()
  const performance = new EndpointPerformance({ clock, log: SILENT_LOG })
  const endpoints = ['e1', 'e2', 'e3'].map(endpointOf)
  const report = (endpoint: Endpoint, running = 0, slowdown = 1): void => {
    endpoint.load = { running, waiting: 0, slots: 8, own: 0, at: clock.now(), ...(isReported ? { slowdown } : {}) }
  }
  for (const endpoint of endpoints) report(endpoint)
  const teach = async (times: readonly number[], work = PLAIN): Promise<void> => {
    for (let round = 0; round < 20; round++) {
      await Promise.all(endpoints.map(async (endpoint, at) => {
        const start = performance.begin(endpoint)
        await clock.sleep(millis(times[at]!))
        report(endpoint)
        if (start !== undefined) performance.record(endpoint, start, work, millis(times[at]!))
      }).concat(clock.advance(seconds(1))))
    }
  }
  const criteria = (prompt?: Prompt): PlacementCriteria =>
    ({ endpoints, exclude: NO_EXCLUSIONS, prompt, domain: HALL, inputBytes: new Map(), now: clock.now() })
  return { clock, performance, endpoints, report, teach, criteria }
}

const placementOf = ({ clock, performance, endpoints }: ReturnType<typeof setUp>, seed: number): RequestPlacement => {
  const random = new SeededRandom(seed)
  const context = {
    clock,
    random,
    performance,
    domain: HALL,
    directory: { healthy: () => endpoints, get: () => undefined },
    versions: { selectCandidates: (_service: ServiceId, _route: unknown, candidates: readonly Endpoint[]) => candidates },
    coldStarts: { canAccept: () => true },
    reach: { reachesEndpoint: () => true },
    limits: { canSend: () => true, isUnconfirmed: () => false },
    profileOf: () => undefined
  } as unknown as ForwardContext
  const request = { route: { name: 'order' }, prompt: undefined, isAllowedIn: () => true } as unknown as ForwardRequest
  const check = { suspectEndpoint: () => undefined, quarantineAt: () => undefined } as unknown as CallCheck
  return new RequestPlacement(context, request, SERVICE, check)
}

const CALL = { exclude: NO_EXCLUSIONS, inputs: [], canReuseExcluded: false }

/** Counts of 300 choices, each of which counts as a call in progress until the end. */
const shareOf = (choose: () => Endpoint | undefined, endpoints: readonly Endpoint[], choices = 300): readonly number[] => {
  for (let at = 0; at < choices; at++) {
    const endpoint = choose()!
    endpoint.running++
  }
  return endpoints.map(({ running }) => running / choices)
}

describe('a plain service whose endpoints report their slowdown', () => {
  it('gets calls in proportion to the speed of its endpoints, not the same number at each', async () => {
    const rig = setUp(true)
    await rig.teach([70, 100, 170])
    const placement = placementOf(rig, 1)
    const [fast, usual, slow] = shareOf(() => placement.choose(CALL), rig.endpoints, 24)
    expect(fast).toBeGreaterThan(usual!)
    expect(usual).toBeGreaterThan(slow!)
    expect(slow).toBeLessThan(0.3)
  })

  it('avoids an endpoint that reports to be slow at the moment, and uses it again when that has faded', async () => {
    const rig = setUp(true)
    await rig.teach([100, 100, 100])
    for (const endpoint of rig.endpoints) rig.report(endpoint, 0, endpoint.id === 'e1' ? 2.5 : 1)
    const placement = placementOf(rig, 7)
    const choices = Array.from({ length: 60 }, () => placement.choose(CALL)!.id)
    expect(choices).not.toContain('e1')
    await rig.clock.advance(seconds(1))
    const later = Array.from({ length: 60 }, () => placement.choose(CALL)!.id)
    expect(later.filter((id) => id === 'e1').length).toBeGreaterThan(6)
  })

  it('draws endpoints at random where their reports are old, so that instances with the same view spread over them', async () => {
    const rig = setUp(true)
    await rig.teach([90, 100, 110])
    await rig.clock.advance(seconds(5))
    const placement = placementOf(rig, 7)
    const choices = Array.from({ length: 90 }, () => placement.choose(CALL)!.id)
    for (const { id } of rig.endpoints) expect(choices.filter((each) => each === id).length).toBeGreaterThan(9)
  })
})

describe('the forecast at admission', () => {
  const answerTime = ({ performance, endpoints }: ReturnType<typeof setUp>): number => {
    const request = { route: { name: 'order', kind: 'unsafe' }, prompt: undefined } as unknown as ForwardRequest
    return answerTimeOf({ firstEvents: newRouteTimes(), performance }, request, endpoints)
  }

  it('counts the time of the answer at the endpoint that answers soonest, so that a request without enough time is not run', async () => {
    const rig = setUp(true)
    await rig.teach([70, 100, 170])
    expect(answerTime(rig)).toBeGreaterThan(60)
    expect(answerTime(rig)).toBeLessThan(85)
    for (const endpoint of rig.endpoints) rig.report(endpoint, 24)
    expect(answerTime(rig)).toBeGreaterThan(150)
  })

  it('counts none before the first answer, and none where endpoints report no slowdown', async () => {
    expect(answerTime(setUp(true))).toBe(0)
    const rig = setUp(false)
    await rig.teach([70, 100, 170])
    expect(answerTime(rig)).toBe(0)
  })
})

describe('the time-outs of a call', () => {
  it('grow at an endpoint that is known to be slow, so that its answer is not given up, but not without bound', async () => {
    const rig = setUp(true)
    await rig.teach([70, 100, 190])
    const [fast, , slow] = rig.endpoints as [Endpoint, Endpoint, Endpoint]
    expect(allowedSlowness(rig.performance, fast, 'plain')).toBe(1)
    expect(allowedSlowness(rig.performance, slow, 'plain')).toBeGreaterThan(1.4)
    rig.report(slow, 500)
    expect(allowedSlowness(rig.performance, slow, 'plain')).toBe(3)
  })

  it('stay as they are where endpoints report no slowdown', async () => {
    const rig = setUp(false)
    await rig.teach([70, 100, 190])
    for (const endpoint of rig.endpoints) expect(allowedSlowness(rig.performance, endpoint, 'plain')).toBe(1)
  })
})

describe('an engine that reports its slowdown', () => {
  it('gets fewer prompts if it reads them slowly', async () => {
    const rig = setUp(true)
    await rig.teach([100, 100, 170], { kind: 'prompt', key: PROMPT_WORK_KEY, amount: 1600 })
    const tracker = new EngineTracker({ random: new SeededRandom(3), performance: rig.performance })
    const choices = Array.from({ length: 30 }, () => {
      const engine = tracker.choose(rig.criteria(PROMPT))!
      tracker.recordDispatch(engine, PROMPT)
      return engine.id
    })
    const count = (id: string): number => choices.filter((each) => each === id).length
    expect(count('e3')).toBeLessThan(0.75 * count('e1'))
    expect(count('e3')).toBeLessThan(0.75 * count('e2'))
  })
})

describe('a service whose endpoints report no slowdown', () => {
  it('is served exactly as before: the same choices with the same random numbers', () => {
    const rig = setUp(false)
    const loads = new SeededRandom(5)
    for (let seed = 0; seed < 200; seed++) {
      for (const endpoint of rig.endpoints) {
        endpoint.running = loads.below(4)
        rig.report(endpoint, loads.below(6))
      }
      const chosen = placementOf(rig, seed).choose(CALL)
      // One choice among the endpoints not confirmed, of which there are none, precedes that among all.
      expect(chosen).toBe(chooseLeastLoaded(new SeededRandom(seed), rig.criteria()))
    }
  })

  it('chooses engines by the assumed speeds, without random numbers and without anything learnt', () => {
    const rig = setUp(false)
    const fail = (): never => { throw new Error('must not be used') }
    const performance = { isActive: () => false, load: fail, slowness: fail, loadedFactor: fail, expectedTime: fail, usualTime: fail }
    const tracker = new EngineTracker({
      random: { next: fail, below: fail, fork: fail }, performance: performance as unknown as EndpointPerformance
    })
    const [first, second] = rig.endpoints as [Endpoint, Endpoint, Endpoint]
    first.running = 5
    second.running = 2
    tracker.recordDispatch(rig.endpoints[2]!, { ...PROMPT, tokensIn: tokens(600) })
    // 600 pending tokens stand for 10 ms, and two running requests for 8 ms.
    expect(tracker.choose(rig.criteria({ ...PROMPT, tokensIn: tokens(60) }))).toBe(second)
    second.running = 3
    expect(tracker.choose(rig.criteria({ ...PROMPT, tokensIn: tokens(60) }))).toBe(rig.endpoints[2])
  })

  it('leaves nothing learnt behind', async () => {
    const rig = setUp(false)
    await rig.teach([70, 100, 170])
    expect(rig.performance.spread().size).toBe(0)
    expect(rig.performance.slowCount).toBe(0)
  })
})

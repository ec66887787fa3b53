import { brand, EventRecorder, failure, millis, refusal, seconds, SeededRandom, VirtualClock } from '@papayahill/common'
import type { DomainId, Failure, Incarnation, InstanceId, Millis, ServiceId } from '@papayahill/common'
import type { ServingRoute } from '@papayahill/directory'
import type { PeerMember } from '@papayahill/peers'
import { EndpointPerformance } from '@papayahill/performance'
import { describe, expect, it } from 'vitest'
import { EventScanner } from './EventScanner.js'
import type { CallCheck } from './CallQuarantine.js'
import type { HandOver, HandOverEnd } from './Detour.js'
import type { ForwardContext } from './ForwardContext.js'
import { Forwarder } from './Forwarder.js'
import type { RunEnd } from './RunEnds.js'
import { newRouteTimes } from './newRouteTimes.js'
import { SharedRetryBudget } from './SharedRetryBudget.js'
import { INSTANCE_STOPPED } from './abortReasons.js'
import { StopTime } from './StopTime.js'
import type { CallerSink, ForwardRequest } from './types.js'
import { UnsentRequests } from './UnsentRequests.js'

const SERVICE = brand<ServiceId>('orders')
const NO_QUARANTINES = {
  quarantineOf: () => undefined, quarantineAt: () => undefined, suspectEndpoint: () => undefined
} as unknown as CallCheck

const peerOf = (id: string): PeerMember => ({
  id: brand<InstanceId>(id), incarnation: brand<Incarnation>(`${id}#1`), domain: brand<DomainId>('d1'), silence: millis(0)
})

const routeOf = (kind: ServingRoute['kind'], maxAttempts = 2): ServingRoute => ({
  name: 'order',
  host: 'shop.example',
  prefix: '/order/',
  kind,
  timeout: seconds(4),
  target: millis(200),
  priority: 1,
  targets: [{ service: SERVICE, weight: 1 }],
  maxAttempts,
  stages: [],
  isPublic: true,
  isResumable: kind === 'streaming',
  regions: []
})

const ANSWERED: HandOverEnd = { kind: 'answered', status: 200, headers: ['x-seal', '1'], body: Buffer.from('ok') }
const LOST: HandOverEnd = { kind: 'lost', detail: 'the peer is gone', runs: 1 }
const NOT_TAKEN: HandOverEnd = { kind: 'not-taken', detail: 'the peer is busy', retryAfter: millis(300) }

type Script = ReadonlyArray<HandOverEnd | ((given: HandOver) => Promise<HandOverEnd>)>

/** A caller that records what it gets. */
class Caller implements CallerSink {
  readonly controller = new AbortController()
  readonly got: string[] = []
  failure: Failure | undefined

  answer (status: number, _headers: readonly string[], body: Buffer): void { this.got.push(`${status} ${body.toString()}`) }
  start (status: number): void { this.got.push(`start ${status}`) }
  write (chunk: Buffer): void { this.got.push(chunk.toString().trim()) }
  end (): void { this.got.push('end') }
  cut (): void { this.got.push('cut') }
  fail (given: Failure): void { this.failure = given }
  abandon (): void { this.controller.abort(INSTANCE_STOPPED) }
}

/** A forwarder that reaches no endpoint, with peers i2, i3 and i4 whose answers are scripts. */
const setUp = (script: Script, peers: readonly string[] = ['i2', 'i3', 'i4'], slack = 50) => {
  const clock = new VirtualClock()
  const handOvers: HandOver[] = []
  const ends: RunEnd[] = []
  const caller = new Caller()
  const context = {
    clock,
    random: new SeededRandom(1),
    log: new EventRecorder(clock),
    directory: { usable: () => [], healthy: () => [], markCold: () => {} },
    callQuarantine: { check: () => NO_QUARANTINES },
    quarantines: { onQuarantine: () => {} },
    unsent: new UnsentRequests(),
    retries: new SharedRetryBudget(clock, () => ({ ratio: 0, window: seconds(10), slack }), () => 1),
    answerTimes: newRouteTimes(),
    firstEvents: newRouteTimes(),
    performance: new EndpointPerformance({ clock, log: new EventRecorder(clock) }),
    stopTime: new StopTime(),
    stages: { router: { endBy: () => {} }, backlogs: {}, profileOf: () => undefined },
    arrivals: { catchUp: () => Promise.resolve() },
    limits: {
      fairShare: () => Infinity,
      availableIn: () => 0,
      canSend: () => true,
      waitForPlace: (_service: ServiceId, wait: Millis) => clock.sleep(wait)
    },
    versions: { selectCandidates: () => [] },
    profileOf: () => undefined,
    reach: { reaches: () => false, onChange: () => {} },
    detour: {
      choose: (_request: ForwardRequest, _service: ServiceId, tried: ReadonlySet<InstanceId>) =>
        peers.map(peerOf).find(({ id }) => !tried.has(id)),
      handOver: (given: HandOver): Promise<HandOverEnd> => {
        const next = script[handOvers.length]!
        handOvers.push(given)
        return typeof next === 'function' ? next(given) : Promise.resolve(next)
      }
    }
  } as unknown as ForwardContext
  const forwarder = new Forwarder(context, { requestEnded: (_request, end) => ends.push(end) })
  const requestOf = (route: ServingRoute, more: Partial<ForwardRequest> = {}): ForwardRequest => ({
    attempt: 'a1',
    method: 'POST',
    path: '/order/7',
    headers: [],
    body: undefined,
    route,
    workspace: undefined,
    priority: 1,
    isAllowedIn: () => true,
    configVersion: 1,
    arrivedAt: clock.now(),
    deadline: millis(clock.now() + seconds(2)),
    prompt: undefined,
    resumeAfter: undefined,
    pieceCounts: [],
    pieceKey: undefined,
    signal: caller.controller.signal,
    ...more
  })
  const serve = async (kind: ServingRoute['kind'], more: Partial<ForwardRequest> = {}): Promise<void> =>
    await forwarder.serve(requestOf(routeOf(kind), more), caller)
  return { clock, context, forwarder, caller, handOvers, ends, serve }
}

/** A peer that streams the events up to `last` after the last one that the caller has, and then ends as given. */
const streamsTo = (last: number, end: HandOverEnd) => ({ relay }: HandOver): Promise<HandOverEnd> => {
  relay!.start(200, [])
  const scanner = new EventScanner()
  for (let id = Number(relay!.resumeAfter ?? 0) + 1; id <= last; id++) relay!.forward(scanner, Buffer.from(`id: ${id}\n\n`))
  return Promise.resolve(end)
}

describe('a request at an instance that reaches no endpoint', () => {
  it('is handed over whole, uncounted, and its answer is passed on', async () => {
    const { caller, handOvers, serve } = setUp([ANSWERED])
    await serve('unsafe')
    expect(caller.got).toEqual(['200 ok'])
    expect(handOvers).toMatchObject([{ to: { id: 'i2' }, runs: 0, isCounted: false, service: SERVICE }])
  })

  it('goes to the next peer at once if one does not take it', async () => {
    const { caller, handOvers, serve } = setUp([NOT_TAKEN, ANSWERED])
    await serve('unsafe')
    expect(handOvers.map(({ to }) => to.id)).toEqual(['i2', 'i3'])
    expect(caller.got).toEqual(['200 ok'])
  })

  it.each([['no peer', []], ['two peers that do not take it', ['i2', 'i3', 'i4']]])('is refused at once with %s', async (_what, peers) => {
    const { clock, caller, handOvers, serve } = setUp([NOT_TAKEN, NOT_TAKEN], peers)
    const begunAt = clock.now()
    await serve('unsafe')
    expect(caller.failure).toMatchObject({ kind: 'no-endpoint', run: 'not-run' })
    expect(caller.failure!.retryAfter).toBeGreaterThan(0)
    expect(handOvers.length).toBe(Math.min(2, peers.length))
    expect(clock.now()).toBe(begunAt)
  })

  it('is refused as a peer refuses it', async () => {
    const refused = refusal('over-capacity', 'too much', { retryAfter: millis(700) })
    const { caller, handOvers, serve } = setUp([{ kind: 'failed', failure: refused }])
    await serve('safe')
    expect(caller.failure).toEqual(refused)
    expect(handOvers.length).toBe(1)
  })

  it('fails as it failed at a peer after it may have run', async () => {
    const { caller, serve } = setUp([{ kind: 'failed', failure: failure('stage-failed', 'lost', 'unknown') }])
    await serve('safe')
    expect(caller.failure).toMatchObject({ kind: 'stage-failed', run: 'unknown' })
  })

  describe('that a peer may have run without an answer', () => {
    it('is not sent again if it is unsafe, and nothing is promised', async () => {
      const { caller, handOvers, serve } = setUp([LOST, ANSWERED])
      await serve('unsafe')
      expect(handOvers.length).toBe(1)
      expect(caller.failure).toMatchObject({ kind: 'stage-failed', run: 'unknown' })
    })

    it('is sent to another peer if it is safe', async () => {
      const { caller, handOvers, serve } = setUp([LOST, ANSWERED])
      await serve('safe')
      expect(handOvers.map(({ to, runs }) => [to.id, runs])).toEqual([['i2', 0], ['i3', 1]])
      expect(caller.got).toEqual(['200 ok'])
    })

    it('is sent again within the attempts of its route, wherever they were made', async () => {
      const { caller, handOvers, serve } = setUp([{ ...LOST, runs: 2 }, ANSWERED])
      await serve('safe')
      expect(handOvers.length).toBe(1)
      expect(caller.failure?.run).toBe('unknown')
    })

    it('is sent again within the retry budget', async () => {
      const { caller, handOvers, serve } = setUp([LOST, ANSWERED], ['i2', 'i3'], 0)
      await serve('safe')
      expect(handOvers.length).toBe(1)
      expect(caller.failure?.run).toBe('unknown')
    })

    // Guards against a refusal that says of a request that may have run that it has not.
    it('is never told as not run, even if no other peer takes it', async () => {
      const { caller, serve } = setUp([LOST, NOT_TAKEN, NOT_TAKEN])
      await serve('safe')
      expect(caller.failure?.run).toBe('unknown')
    })

    it('is resumed at another peer if it is a stream, each event once', async () => {
      const { caller, serve } = setUp([streamsTo(3, LOST), streamsTo(5, { kind: 'streamed' })])
      await serve('streaming')
      expect(caller.got).toEqual(['start 200', 'id: 1', 'id: 2', 'id: 3', 'id: 4', 'id: 5', 'end'])
    })

    it('is cut if it is a stream that no other peer takes', async () => {
      const { caller, serve } = setUp([streamsTo(2, LOST), NOT_TAKEN], ['i2', 'i3'])
      await serve('streaming')
      expect(caller.got).toEqual(['start 200', 'id: 1', 'id: 2', 'cut'])
    })
  })

  describe('during a planned stop', () => {
    const hangs = ({ request: { signal } }: HandOver): Promise<HandOverEnd> => new Promise((resolve) => {
      signal.addEventListener('abort', () => resolve(LOST), { once: true })
    })

    it('is still handed over, with no more time than the stop leaves', async () => {
      const { clock, caller, forwarder, handOvers, serve } = setUp([ANSWERED])
      forwarder.beginStop(millis(clock.now() + seconds(1)))
      await serve('unsafe')
      expect(caller.got).toEqual(['200 ok'])
      expect(handOvers[0]!.endsAt).toBe(1000)
    })

    it('gets a final answer at its end', async () => {
      const { clock, caller, forwarder, serve } = setUp([hangs])
      const served = serve('unsafe')
      await clock.advance(millis(10))
      forwarder.beginStop(millis(clock.now() + seconds(1)))
      forwarder.endStop()
      await served
      expect(caller.failure?.run).toBe('unknown')
      expect(forwarder.running).toBe(0)
    })
  })

  it('goes no further if it came from a peer', async () => {
    const { caller, handOvers, serve, clock } = setUp([ANSWERED])
    const served = serve('unsafe', { detoured: { runs: 0, isCounted: false, onRun: () => {} } })
    await clock.advance(seconds(3))
    await served
    expect(handOvers).toEqual([])
    expect(caller.failure).toMatchObject({ kind: 'no-endpoint', run: 'not-run' })
  })
})

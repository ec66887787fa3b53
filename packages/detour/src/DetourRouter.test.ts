import { brand, failure, millis, refusal, seconds } from '@papayahill/common'
import type { InstanceId, WorkspaceId } from '@papayahill/common'
import type { CallerSink, ForwardRequest } from '@papayahill/forwarding'
import { INSTANCE_STOPPED } from '@papayahill/forwarding'
import { describe, expect, it } from 'vitest'
import { DetourHarness, kilobytes, MAX_BODY, routeOf, SERVICE } from './testing/DetourHarness.js'
import type { Serve } from './testing/DetourHarness.js'

const SOON = millis(100)
/** Time within which work for a caller that left, or for an instance that is gone, must end. */
const GONE = millis(500)

/** Waits until the request is cancelled, as the forwarder does for one whose endpoint never answers. */
const hangs: Serve = ({ signal }, sink) => new Promise((resolve) => {
  signal.addEventListener('abort', () => {
    sink.fail(failure('caller-gone', 'the caller disconnected', 'unknown'))
    resolve()
  }, { once: true })
})

const eventOf = (id: number): Buffer => Buffer.from(`id: ${id}\ndata: ${id}\n\n`)

/** Streams events at an interval; breaks off after `breaksAfter`. */
const streamsTo = (harness: DetourHarness, last: number, breaksAfter = Infinity): Serve => async ({ resumeAfter, signal }, sink) => {
  sink.start(200, ['content-type', 'text/event-stream'])
  for (let id = Number(resumeAfter ?? 0) + 1; id <= last; id++) {
    if (signal.aborted || id > breaksAfter) return sink.cut()
    sink.write(eventOf(id))
    await harness.clock.sleep(millis(50))
  }
  sink.end()
}

const eventsTo = (last: number): string => Array.from({ length: last }, (_none, at) => eventOf(at + 1).toString()).join('')

describe('DetourRouter', () => {
  describe('a request that a peer serves', () => {
    it('crosses whole, and its answer comes back unchanged', async () => {
      const harness = new DetourHarness('i1', 'i2')
      await harness.clock.advance(seconds(1))
      const request = harness.requestOf({
        pieceCounts: [2, 1], pieceKey: 'k', resumeAfter: '4', workspace: brand<WorkspaceId>('norte'), arrivedAt: millis(400)
      })
      const received = await harness.endOf(SOON, 'i1', 'i2', request, { runs: 1, isCounted: true })
      expect(received?.end).toEqual({ kind: 'answered', status: 200, headers: ['x-by', 'endpoint'], body: Buffer.from('ok') })
      const [run] = harness.of('i2').runs
      const { attempt, method, path, headers, body, workspace, priority, pieceCounts, pieceKey, resumeAfter } = request
      expect(run).toMatchObject({ attempt, method, path, headers, body, workspace, priority, pieceCounts, pieceKey, resumeAfter })
      expect(run!.detoured).toMatchObject({ runs: 1, isCounted: true })
      expect(run!.arrivedAt).toBeLessThanOrEqual(404)
      expect(run!.deadline).toBeCloseTo(request.deadline, -1)
    })

    it('may have no body, which differs from an empty one', async () => {
      const harness = new DetourHarness('i1', 'i2')
      await harness.endOf(SOON, 'i1', 'i2', harness.requestOf({ body: undefined }))
      await harness.endOf(SOON, 'i1', 'i2', harness.requestOf({ body: Buffer.alloc(0) }))
      expect(harness.of('i2').runs.map(({ body }) => body?.length)).toEqual([undefined, 0])
    })

    it('may have a body and an answer that are larger than a message, of any bytes', async () => {
      const harness = new DetourHarness('i1', 'i2')
      const body = kilobytes(1900)
      harness.of('i2').serve = (request, sink) => Promise.resolve(sink.answer(200, [], request.body!))
      const received = await harness.endOf(seconds(1), 'i1', 'i2', harness.requestOf({ body }))
      expect(received?.end.kind === 'answered' && received.end.body.equals(body)).toBe(true)
    })

    it('is streamed as its events come, each once', async () => {
      const harness = new DetourHarness('i1', 'i2')
      harness.of('i2').serve = streamsTo(harness, 9)
      const received = await harness.endOf(seconds(1), 'i1', 'i2', harness.requestOf({ route: routeOf('streaming') }))
      expect(received).toEqual({ end: { kind: 'streamed' }, streamed: eventsTo(9) })
    })

    // Guards against a stream that is cut since its peer was paused for a moment.
    it.each([false, true])('goes on at a peer that is silent for a moment, unless another may get it: %s', async (mayReplace) => {
      const harness = new DetourHarness('i1', 'i2')
      await harness.clock.advance(seconds(1))
      harness.of('i2').serve = streamsTo(harness, 60)
      const { id } = harness.of('i2')
      harness.clock.after(millis(300), () => harness.network.pause(id))
      harness.clock.after(millis(300 + 1950), () => harness.network.resume(id))
      const request = harness.requestOf({ route: routeOf('streaming'), deadline: millis(harness.clock.now() + seconds(6)) })
      const received = await harness.endOf(seconds(6), 'i1', 'i2', request, { mayReplace: () => mayReplace })
      const lost = { kind: 'lost', detail: 'the peer is silent', runs: 1 }
      expect(received?.end).toEqual(mayReplace ? lost : { kind: 'streamed' })
    })

    it('ends as it failed there', async () => {
      const harness = new DetourHarness('i1', 'i2')
      const refused = refusal('over-capacity', 'too much', { retryAfter: millis(700) })
      harness.of('i2').serve = (_request, sink) => Promise.resolve(sink.fail(refused))
      expect((await harness.endOf(SOON, 'i1', 'i2'))?.end).toEqual({ kind: 'failed', failure: refused })
    })
  })

  describe('a request that a peer does not run', () => {
    it.each<[string, (peer: ReturnType<DetourHarness['of']>) => void]>([
      ['stops', (peer) => { peer.isAccepting = false }],
      ['reaches no endpoint either', (peer) => { peer.isReaching = false }],
      ['has an older configuration', (peer) => { peer.configVersion = 0 }],
      ['has a delayed event loop', (peer) => { peer.loopDelay = millis(900) }],
      ['refuses it because it stops', (peer) => {
        peer.serve = (_request, sink) => Promise.resolve(sink.fail(refusal('draining', 'stopped')))
      }],
      ['loses its own paths meanwhile', (peer) => {
        peer.serve = (_request, sink) => {
          peer.isReaching = false
          return Promise.resolve(sink.fail(refusal('no-endpoint', 'none')))
        }
      }]
    ])('is not taken if the peer %s', async (_why, prepare) => {
      const harness = new DetourHarness('i1', 'i2')
      prepare(harness.of('i2'))
      expect((await harness.endOf(SOON, 'i1', 'i2'))?.end.kind).toBe('not-taken')
    })

    it('is not taken beyond a bound, and the peer is left alone for a while', async () => {
      const harness = new DetourHarness('i1', 'i2')
      harness.of('i2').serve = hangs
      const ends: Array<string | undefined> = []
      for (let at = 0; at < 20; at++) ends.push((await harness.endOf(millis(20), 'i1', 'i2', harness.requestOf()))?.end.kind)
      expect(harness.of('i2').runs.length).toBe(13)
      expect(ends.filter((kind) => kind === 'not-taken').length).toBe(7)
      const { router } = harness.of('i1')
      expect(router.choose(harness.requestOf(), SERVICE, new Set())).toBeUndefined()
      await harness.clock.advance(seconds(1))
      expect(router.choose(harness.requestOf(), SERVICE, new Set())?.id).toBe('i2')
    })

    // Guards against a request whose acceptance is unknown being told as not run although it runs.
    it.each(['offer', 'answer'])('has not run if the %s is lost', async (lost) => {
      const harness = new DetourHarness('i1', 'i2')
      const first = harness.of('i1').id
      const second = harness.of('i2').id
      if (lost === 'offer') harness.network.partition(first, second)
      else harness.clock.after(millis(3), () => harness.network.partition(first, second))
      const { incarnation, domain } = harness.of('i2').peers
      const member = { id: second, incarnation, domain, silence: millis(0) }
      const received = await harness.endOf(seconds(1), 'i1', 'i2', harness.requestOf(), { to: member })
      expect(received?.end.kind).toBe('not-taken')
      harness.network.heal(first, second)
      await harness.clock.advance(seconds(5))
      expect(harness.of('i2').runs).toEqual([])
      expect(harness.of('i2').router.hosted).toBe(0)
    })
  })

  describe('a peer that goes away', () => {
    type End = (harness: DetourHarness) => void
    const ENDS: ReadonlyArray<[string, End]> = [
      ['ends', (harness) => harness.network.kill(harness.of('i2').id)],
      ['restarts under its id', (harness) => {
        harness.network.kill(harness.of('i2').id)
        harness.start('i2')
      }],
      ['is cut off', (harness) => harness.network.partition(harness.of('i1').id, harness.of('i2').id)]
    ]

    it.each(ENDS)('leaves a request that may have run, soon after it %s', async (_how, end) => {
      const harness = new DetourHarness('i1', 'i2')
      harness.of('i2').serve = hangs
      harness.clock.after(millis(50), () => end(harness))
      const received = await harness.endOf(millis(300), 'i1', 'i2')
      expect(received?.end).toMatchObject({ kind: 'lost', runs: 1 })
    })

    it('leaves a stream that can be resumed from its last event', async () => {
      const harness = new DetourHarness('i1', 'i2', 'i3')
      harness.of('i2').serve = streamsTo(harness, 9)
      harness.of('i3').serve = streamsTo(harness, 9)
      harness.clock.after(millis(170), () => harness.network.kill(harness.of('i2').id))
      const request = harness.requestOf({ route: routeOf('streaming') })
      const first = await harness.endOf(millis(400), 'i1', 'i2', request)
      expect(first?.end).toMatchObject({ kind: 'lost', runs: 1 })
      const count = first!.streamed.split('data').length - 1
      expect(count).toBeGreaterThan(1)
      const second = await harness.endOf(seconds(1), 'i1', 'i3', { ...request, resumeAfter: String(count) }, { runs: 1 })
      expect(first!.streamed + second!.streamed).toBe(eventsTo(9))
    })

    it('cuts a stream that breaks off there', async () => {
      const harness = new DetourHarness('i1', 'i2')
      harness.of('i2').serve = streamsTo(harness, 9, 4)
      const received = await harness.endOf(seconds(1), 'i1', 'i2', harness.requestOf({ route: routeOf('streaming') }))
      expect(received).toMatchObject({ end: { kind: 'lost' }, streamed: eventsTo(4) })
    })

    // Guards against an error at the peer that leaves its origin waiting, or the peer's place taken.
    it('leaves a request that may have run if it ends in an error there', async () => {
      const harness = new DetourHarness('i1', 'i2')
      harness.of('i2').serve = () => Promise.reject(new Error('a fault'))
      expect((await harness.endOf(SOON, 'i1', 'i2'))?.end.kind).toBe('lost')
      expect(harness.of('i2').router.hosted).toBe(0)
    })

    it('counts the calls that it told of', async () => {
      const harness = new DetourHarness('i1', 'i2')
      harness.of('i2').serve = async (request, sink) => {
        request.detoured!.onRun(request.detoured!.runs + 1)
        request.detoured!.onRun(request.detoured!.runs + 2)
        await hangs(request, sink)
      }
      harness.clock.after(millis(50), () => harness.network.kill(harness.of('i2').id))
      expect((await harness.endOf(millis(300), 'i1', 'i2', undefined, { runs: 1 }))?.end).toMatchObject({ kind: 'lost', runs: 3 })
    })
  })

  describe('a request that nobody waits for', () => {
    const hangingPair = async (controller = new AbortController()): Promise<DetourHarness> => {
      const harness = new DetourHarness('i1', 'i2')
      harness.of('i2').serve = hangs
      await harness.endOf(millis(50), 'i1', 'i2', harness.requestOf({ signal: controller.signal }))
      expect(harness.of('i2').router.hosted).toBe(1)
      return harness
    }

    it.each(['caller', INSTANCE_STOPPED])('is cancelled at the peer when its caller leaves or its instance has stopped (%s)', async (reason) => {
      const controller = new AbortController()
      const harness = await hangingPair(controller)
      controller.abort(reason)
      await harness.clock.advance(SOON)
      expect(harness.of('i2').router.hosted).toBe(0)
      expect(harness.of('i1').router.handedOver).toBe(0)
    })

    it.each(['ends', 'restarts', 'is cut off'])('is cancelled at the peer when its instance %s', async (how) => {
      const harness = await hangingPair()
      if (how === 'is cut off') harness.network.partition(harness.of('i1').id, harness.of('i2').id)
      else harness.network.kill(harness.of('i1').id)
      if (how === 'restarts') harness.start('i1')
      await harness.clock.advance(GONE)
      expect(harness.of('i2').runs[0]!.signal.aborted).toBe(true)
      expect(harness.of('i2').router.hosted).toBe(0)
    })

    it('ends at both sides some time after its deadline', async () => {
      const harness = new DetourHarness('i1', 'i2')
      harness.of('i2').serve = hangs
      const received = await harness.endOf(seconds(3), 'i1', 'i2')
      expect(received?.end.kind).toBe('lost')
      expect(harness.of('i2').router.hosted).toBe(0)
    })
  })

  describe('messages that come twice, late or not at all', () => {
    it('runs a request once though all of its messages come twice', async () => {
      const harness = new DetourHarness('i1', 'i2')
      harness.of('i1').tamper = (_message, packed) => [packed, packed]
      harness.of('i2').tamper = (_message, packed) => [packed, packed]
      const body = kilobytes(100)
      harness.of('i2').serve = (request, sink) => Promise.resolve(sink.answer(200, [], request.body!))
      const received = await harness.endOf(SOON, 'i1', 'i2', harness.requestOf({ body }))
      expect(received?.end.kind === 'answered' && received.end.body.equals(body)).toBe(true)
      expect(harness.of('i2').runs.length).toBe(1)
    })

    // Guards against an unsafe request that runs again when its messages arrive once more after it has ended.
    it('runs no request again whose messages come again after its end', async () => {
      const harness = new DetourHarness('i1', 'i2')
      const { peers } = harness.of('i1')
      const ask = peers.ask.bind(peers)
      const sent: Array<Parameters<typeof peers.ask>> = []
      peers.ask = (...given) => {
        sent.push(given)
        return ask(...given)
      }
      const parts: Parameters<typeof peers.send>[] = []
      harness.of('i1').tamper = (message, packed) => {
        if (message?.kind === 'part') parts.push([brand<InstanceId>('i2'), 'detour', packed])
        return [packed]
      }
      await harness.endOf(SOON, 'i1', 'i2')
      for (const given of sent) void ask(...given)
      await harness.clock.advance(SOON)
      for (const given of parts) peers.send(...given)
      await harness.clock.advance(SOON)
      expect(parts.length).toBe(1)
      expect(harness.of('i2').runs.length).toBe(1)
    })

    it('takes nothing that was meant for an earlier process of its id', async () => {
      const harness = new DetourHarness('i1', 'i2')
      let held: CallerSink | undefined
      harness.of('i2').serve = async (request: ForwardRequest, sink) => {
        held = sink
        await hangs(request, sink)
      }
      await harness.endOf(millis(50), 'i1', 'i2')
      harness.network.kill(harness.of('i1').id)
      const restarted = harness.start('i1')
      held!.answer(200, [], Buffer.from('of the ended process'))
      const received = await harness.endOf(SOON, 'i1', 'i2')
      expect(restarted.router.handedOver + (received?.end.kind === 'answered' ? 1 : 0)).toBe(1)
      expect(JSON.stringify(received ?? '')).not.toContain('ended process')
    })

    it('never passes on an answer of which a part is missing', async () => {
      const harness = new DetourHarness('i1', 'i2')
      harness.of('i2').serve = (_request, sink) => Promise.resolve(sink.answer(200, [], kilobytes(100)))
      harness.of('i2').tamper = (message, packed) => message?.kind === 'part' && message.number === 2 ? [] : [packed]
      expect((await harness.endOf(SOON, 'i1', 'i2'))?.end.kind).toBe('lost')
    })

    it('never runs a request of which a part is missing', async () => {
      const harness = new DetourHarness('i1', 'i2')
      harness.of('i1').tamper = (message, packed) => message?.kind === 'part' && message.number === 1 ? [] : [packed]
      await harness.endOf(seconds(3), 'i1', 'i2', harness.requestOf({ body: kilobytes(100) }))
      expect(harness.of('i2').runs).toEqual([])
      expect(harness.of('i2').router.hosted).toBe(0)
    })

    // Guards against a peer that fills the memory of an instance with a body that no caller may send.
    it('runs no request whose body is larger than bodies may be', async () => {
      const harness = new DetourHarness('i1', 'i2')
      await harness.endOf(seconds(1), 'i1', 'i2', harness.requestOf({ body: Buffer.alloc(MAX_BODY + 1) }))
      expect(harness.of('i2').runs).toEqual([])
      expect(harness.of('i2').router.hosted).toBe(0)
    })

    it('bounds what waits at the peer while its parts are not confirmed', async () => {
      const harness = new DetourHarness('i1', 'i2')
      harness.of('i1').tamper = (message, packed) => message?.kind === 'confirm' ? [] : [packed]
      let isAborted = false
      harness.of('i2').serve = async ({ signal }, sink) => {
        sink.start(200, [])
        for (let at = 0; at < 100 && !signal.aborted; at++) {
          sink.write(kilobytes(100))
          await harness.clock.sleep(millis(1))
        }
        isAborted = signal.aborted
      }
      await harness.endOf(seconds(1), 'i1', 'i2', harness.requestOf({ route: routeOf('streaming') }))
      expect(isAborted).toBe(true)
      expect(harness.of('i2').router.hosted).toBe(0)
    })
  })

  describe('the choice of a peer', () => {
    it('spreads requests over the peers by their outstanding hand-overs', async () => {
      const harness = new DetourHarness('i1', 'i2', 'i3', 'i4', 'i5')
      for (const instance of harness.instances.values()) instance.serve = hangs
      const { router } = harness.of('i1')
      for (let at = 0; at < 40; at++) {
        const to = router.choose(harness.requestOf(), SERVICE, new Set())!
        await harness.endOf(millis(10), 'i1', to.id, harness.requestOf())
      }
      const counts = ['i2', 'i3', 'i4', 'i5'].map((id) => harness.of(id).router.hosted)
      expect(Math.max(...counts)).toBeLessThanOrEqual(15)
      expect(counts.reduce((sum, count) => sum + count, 0)).toBe(40)
    })

    it('leaves out peers that were tried, that do not reach the service and that the request may not go to', () => {
      const harness = new DetourHarness('i1', 'i2', 'i3')
      harness.start('i4', 'd2')
      harness.of('i3').isReaching = false
      const request = harness.requestOf({ isAllowedIn: (domain) => domain === 'd1' })
      const { router } = harness.of('i1')
      expect(router.choose(request, SERVICE, new Set())?.id).toBe('i2')
      expect(router.choose(request, SERVICE, new Set([harness.of('i2').id]))).toBeUndefined()
    })
  })
})

import { millis, SILENT_LOG, VirtualClock } from '@papayahill/common'
import type { EndpointId } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import { UNLIMITED } from '@papayahill/limits'
import { describe, expect, it } from 'vitest'
import { EndpointCalls } from './EndpointCalls.js'
import { GroupBatcher } from './GroupBatcher.js'
import { stageEndpoint, stagePiece, TEST_PROFILE } from './testing/stageEndpoint.js'
import type { BatchAnswer, BatchCaller, Piece, PieceOutcome } from './types.js'

const PROFILE = { ...TEST_PROFILE, size: 3 }

/** Stage endpoints that answer after the profile's call time, or with the answer set in `next`. */
class FakeCaller implements BatchCaller {
  readonly batches: Array<readonly string[]> = []
  readonly freed: string[] = []
  next: BatchAnswer | undefined
  /** Milliseconds that a call waits at the endpoint before it runs. */
  delay = 0
  freeCalls = 0
  readonly #clock: VirtualClock

  constructor (clock: VirtualClock) {
    this.#clock = clock
  }

  async call (_endpoint: Endpoint, pieces: readonly Piece[]): Promise<BatchAnswer> {
    this.batches.push(pieces.map((piece) => piece.request))
    const nextAnswer = this.next
    this.next = undefined
    if (nextAnswer !== undefined && nextAnswer.kind !== 'answered') return nextAnswer
    await this.#clock.sleep(millis(this.delay + PROFILE.callTime + pieces.length * PROFILE.pieceTime))
    return nextAnswer ?? { kind: 'answered', outcomes: pieces.map((piece) => ({ handle: `${piece.request}/${piece.index}` })) }
  }

  async free (_endpoint: Endpoint, handles: readonly string[]): Promise<void> {
    this.freeCalls++
    await this.#clock.sleep(millis(5))
    this.freed.push(...handles)
  }
}

const createBatcher = (...ids: readonly string[]) => {
  const clock = new VirtualClock()
  const caller = new FakeCaller(clock)
  const endpoints = (ids.length === 0 ? ['e1'] : ids).map((id) => stageEndpoint(id))
  const calls = new Map<EndpointId, EndpointCalls>()
  for (const endpoint of endpoints) {
    calls.set(endpoint.id, new EndpointCalls({
      clock, log: SILENT_LOG, caller, endpoint, limits: UNLIMITED, profile: () => PROFILE, onMemoryFreed: () => batcher.pump()
    }))
  }
  const batcher = new GroupBatcher({ clock, log: SILENT_LOG, callsOf: (id) => calls.get(id) })
  const places = endpoints.map(({ id }) => ({ endpoint: id, cost: millis(0) }))
  const outcomes = new Map<string, PieceOutcome>()
  const read: string[] = []
  const add = (request: string, fields: Partial<Piece> = {}): void => {
    const piece = stagePiece(request, fields)
    batcher.add({ piece, places, settle: (outcome) => outcomes.set(request, outcome), onInputsRead: () => { read.push(request) } })
    batcher.pump()
  }
  return { clock, caller, batcher, calls, outcomes, read, add, first: endpoints[0]!.id }
}

/** The next error that nobody catches, as the process logs it; it does not fail the test run meanwhile. */
const nextUnhandledRejection = (): Promise<unknown> => {
  const others = process.listeners('unhandledRejection')
  process.removeAllListeners('unhandledRejection')
  return new Promise((resolve) => {
    process.once('unhandledRejection', (err) => {
      for (const listener of others) process.on('unhandledRejection', listener)
      resolve(err)
    })
  })
}

describe('GroupBatcher', () => {
  it('sends the first piece at once, and the pieces that arrive meanwhile in one call', async () => {
    const { clock, caller, outcomes, add } = createBatcher()
    for (const request of ['a', 'b', 'c', 'd']) add(request)
    expect(caller.batches).toEqual([['a']])
    await clock.advance(millis(211))
    expect(caller.batches).toEqual([['a'], ['b', 'c', 'd']])
    await clock.advance(millis(231))
    expect([...outcomes.keys()].sort()).toEqual(['a', 'b', 'c', 'd'])
  })

  it('sends queued pieces to the endpoint that is free first', async () => {
    const { clock, caller, outcomes, add } = createBatcher('e1', 'e2')
    for (const request of ['a', 'b']) add(request)
    await clock.advance(millis(100))
    for (const request of ['c', 'd']) add(request)
    await clock.advance(millis(111))
    expect(caller.batches).toEqual([['a'], ['b'], ['c'], ['d']])
    expect(new Set([...outcomes.values()].map(({ endpoint }) => endpoint)).size).toBe(2)
  })

  it('waits for memory until the endpoint has freed released results', async () => {
    const { clock, caller, calls, add, first } = createBatcher()
    add('a', { resultBytes: 80 as never })
    add('b', { resultBytes: 80 as never })
    await clock.advance(millis(400))
    expect(caller.batches).toEqual([['a']])
    calls.get(first)!.free(['a/0'])
    await clock.advance(millis(14))
    expect(caller.batches).toEqual([['a']])
    await clock.advance(millis(1))
    expect(caller.freed).toEqual(['a/0'])
    expect(caller.batches).toEqual([['a'], ['b']])
  })

  // Guards against a coordinator that spends more time on releasing results than on the calls that made them.
  it('releases the results of several requests in one call while there is memory to spare', async () => {
    const { clock, caller, calls, add, first } = createBatcher()
    for (const request of ['a', 'b', 'c']) add(request)
    await clock.advance(millis(500))
    for (const request of ['a', 'b', 'c']) {
      calls.get(first)!.free([`${request}/0`])
      await clock.advance(millis(30))
    }
    await clock.advance(millis(100))
    expect(caller.freed).toEqual(['a/0', 'b/0', 'c/0'])
    expect(caller.freeCalls).toBe(1)
  })

  it('sends a refused batch again and fails none of its pieces', async () => {
    const { clock, caller, outcomes, add } = createBatcher()
    caller.next = { kind: 'refused', detail: 'full' }
    add('a')
    await clock.advance(millis(400))
    expect(caller.batches).toEqual([['a'], ['a']])
    expect(outcomes.get('a')).toMatchObject({ handle: 'a/0' })
  })

  it('settles the pieces of a lost call as failed, and those of an unreachable endpoint as unplaced', async () => {
    const { clock, caller, outcomes, add, first } = createBatcher()
    caller.next = { kind: 'lost', detail: 'reset', isConnectionLost: false }
    add('a')
    await clock.advance(millis(1))
    expect(outcomes.get('a')).toEqual({ fault: 'failed', endpoint: first })
    caller.next = { kind: 'unreachable', detail: 'refused' }
    add('b')
    await clock.advance(millis(1))
    expect(outcomes.get('b')).toEqual({ fault: 'unplaced', endpoint: first })
  })

  // Guards against a group that is kept for good, since it never counts as idle again.
  it('has no batch in progress once a call has thrown an error, which is reported', async () => {
    const { caller, clock, batcher, add } = createBatcher()
    const failure = new Error('thrown by the test')
    caller.call = async () => { throw failure }
    const reported = nextUnhandledRejection()
    add('a')
    expect(await reported).toBe(failure)
    await clock.advance(millis(1))
    expect(batcher.isIdle).toBe(true)
  })

  it('sends nothing to an endpoint that is no longer usable', () => {
    const { caller, calls, outcomes, add } = createBatcher()
    calls.clear()
    add('a')
    expect(caller.batches).toEqual([])
    expect(outcomes.get('a')).toEqual({ fault: 'unplaced', endpoint: undefined })
  })

  it('sends queued pieces to the other endpoint while a call is overdue', async () => {
    const { clock, caller, add } = createBatcher('e1', 'e2')
    caller.delay = 3000
    add('stuck')
    await clock.advance(millis(1))
    caller.delay = 0
    for (let at = 0; at < 6; at++) {
      add(`next-${at}`)
      await clock.advance(millis(220))
    }
    expect(caller.batches.length).toBeGreaterThanOrEqual(6)
  })

  it('hands queued pieces back when another instance coordinates the group', async () => {
    const { batcher, outcomes, add } = createBatcher()
    add('a')
    add('b')
    batcher.handBack()
    expect(outcomes.get('b')).toEqual({ fault: 'moved', endpoint: undefined })
    expect(outcomes.has('a')).toBe(false)
  })

  it('drops the queued pieces of a cancelled request', () => {
    const { batcher, outcomes, add } = createBatcher()
    add('a')
    add('b')
    batcher.cancel('b')
    expect(outcomes.get('b')).toMatchObject({ fault: 'late' })
  })

  describe('inputs', () => {
    it('are reported as read while the call still runs', async () => {
      const { clock, read, outcomes, add } = createBatcher()
      add('first')
      await clock.advance(millis(250))
      add('a', { inputs: ['x'], inputBytes: 1000 as never })
      await clock.advance(millis(60))
      expect(read).toEqual(['a'])
      expect(outcomes.has('a')).toBe(false)
    })

    it('are not reported as read for some time after a lost call, since the next may be lost, too', async () => {
      const { clock, caller, read, add } = createBatcher()
      caller.next = { kind: 'lost', detail: 'nothing came', isConnectionLost: false }
      add('lost')
      await clock.advance(millis(1))
      add('next')
      await clock.advance(millis(500))
      add('a', { inputs: ['x'], inputBytes: 1000 as never })
      await clock.advance(millis(500))
      expect(read).toEqual([])
      await clock.advance(millis(3000))
      add('b', { inputs: ['x'], inputBytes: 1000 as never })
      await clock.advance(millis(60))
      expect(read).toEqual(['b'])
    })

    it('are not reported as read while a call may wait behind another instance\'s, as after a change of coordinators', async () => {
      const { clock, caller, read, add } = createBatcher()
      add('a', { inputs: ['x'], inputBytes: 1000 as never })
      await clock.advance(millis(60))
      expect(read).toEqual([])
      await clock.advance(millis(300))
      caller.delay = 200
      add('b')
      await clock.advance(millis(500))
      add('c', { inputs: ['x'], inputBytes: 1000 as never })
      await clock.advance(millis(60))
      expect(read).toEqual([])
    })
  })
})

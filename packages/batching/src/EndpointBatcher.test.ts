import { brand, bytes, millis, SILENT_LOG, VirtualClock } from '@papayahill/common'
import type { DomainId, EndpointId, ServiceId } from '@papayahill/common'
import { Endpoint } from '@papayahill/directory'
import type { BatchProfile } from '@papayahill/directory'
import { describe, expect, it } from 'vitest'
import { EndpointBatcher } from './EndpointBatcher.js'
import type { BatchAnswer, BatchCaller, Piece, PieceOutcome } from './types.js'

const PROFILE: BatchProfile = {
  slots: 1, queue: 2, size: 3, callTime: millis(200), pieceTime: millis(10), room: bytes(50), resultLife: millis(4000)
}

const endpointOf = (): Endpoint => new Endpoint({
  id: brand<EndpointId>('e1'),
  service: brand<ServiceId>('encode'),
  address: { ip: '10.0.0.1', port: 1 },
  domain: brand<DomainId>('hall-1'),
  version: 'v1',
  slots: 1,
  isDraining: false,
  coldFor: millis(0),
  sequence: 1,
  bornAt: undefined
})

/** A stage endpoint that works for its call time, or answers as it is told. */
class FakeCaller implements BatchCaller {
  readonly batches: Array<readonly string[]> = []
  readonly freed: string[] = []
  next: BatchAnswer | undefined
  /** Milliseconds for which a call waits at the endpoint. */
  delay = 0
  readonly #clock: VirtualClock

  constructor (clock: VirtualClock) {
    this.#clock = clock
  }

  async call (_endpoint: Endpoint, pieces: readonly Piece[]): Promise<BatchAnswer> {
    this.batches.push(pieces.map((piece) => piece.request))
    const told = this.next
    this.next = undefined
    if (told !== undefined && told.kind !== 'answered') return told
    await this.#clock.sleep(millis(this.delay + PROFILE.callTime + pieces.length * PROFILE.pieceTime))
    return told ?? { kind: 'answered', outcomes: pieces.map((piece) => ({ handle: `${piece.request}/${piece.index}` })) }
  }

  free (_endpoint: Endpoint, handles: readonly string[]): void {
    this.freed.push(...handles)
  }
}

const rig = () => {
  const clock = new VirtualClock()
  const caller = new FakeCaller(clock)
  let isUsable = true
  const batcher = new EndpointBatcher({
    clock, log: SILENT_LOG, caller, endpoint: endpointOf(), profile: () => PROFILE, isUsable: () => isUsable
  })
  const outcomes = new Map<string, PieceOutcome>()
  const read: string[] = []
  const add = (request: string, fields: Partial<Piece> = {}): void => {
    const piece: Piece = {
      request,
      stage: 0,
      index: 0,
      key: 'k',
      inputs: [],
      inputBytes: bytes(0),
      resultBytes: bytes(10),
      due: millis(10_000),
      deadline: millis(20_000),
      priority: 1,
      ...fields
    }
    batcher.add({ piece, settle: (outcome) => outcomes.set(request, outcome), read: () => { read.push(request) } })
    batcher.pump()
  }
  return { clock, caller, batcher, outcomes, read, add, stop: () => { isUsable = false } }
}

describe('EndpointBatcher', () => {
  it('sends the first piece at once and what gathers meanwhile in one call', async () => {
    const { clock, caller, outcomes, add } = rig()
    for (const request of ['a', 'b', 'c', 'd']) add(request)
    expect(caller.batches).toEqual([['a']])
    await clock.advance(millis(211))
    expect(caller.batches).toEqual([['a'], ['b', 'c', 'd']])
    await clock.advance(millis(231))
    expect([...outcomes.keys()].sort()).toEqual(['a', 'b', 'c', 'd'])
  })

  it('waits for room, and goes on as soon as results are freed', async () => {
    const { clock, caller, batcher, add } = rig()
    add('a', { resultBytes: bytes(40) })
    add('b', { resultBytes: bytes(40) })
    await clock.advance(millis(400))
    expect(caller.batches).toEqual([['a']])
    batcher.free(['a/0'])
    expect(caller.batches).toEqual([['a'], ['b']])
    expect(caller.freed).toEqual(['a/0'])
  })

  it('offers a refused batch again and fails none of it', async () => {
    const { clock, caller, outcomes, add } = rig()
    caller.next = { kind: 'refused', detail: 'full' }
    add('a')
    await clock.advance(millis(400))
    expect(caller.batches).toEqual([['a'], ['a']])
    expect(outcomes.get('a')).toEqual({ handle: 'a/0' })
  })

  it('gives the pieces of a lost call back as failed, and those of an unreachable endpoint as unplaced', async () => {
    const { clock, caller, outcomes, add } = rig()
    caller.next = { kind: 'lost', detail: 'reset' }
    add('a')
    await clock.advance(millis(1))
    expect(outcomes.get('a')).toEqual({ fault: 'failed' })
    caller.next = { kind: 'unreachable', detail: 'refused' }
    add('b')
    await clock.advance(millis(1))
    expect(outcomes.get('b')).toEqual({ fault: 'unplaced' })
  })

  it('sends nothing to an endpoint that may not be used any more', async () => {
    const { caller, outcomes, add, stop } = rig()
    stop()
    add('a')
    expect(caller.batches).toEqual([])
    expect(outcomes.get('a')).toEqual({ fault: 'unplaced' })
  })

  it('hands waiting pieces back when another instance gathers', async () => {
    const { batcher, outcomes, add } = rig()
    add('a')
    add('b')
    batcher.handBack()
    expect(outcomes.get('b')).toEqual({ fault: 'moved' })
    expect(outcomes.has('a')).toBe(false)
  })

  it('tells that inputs were read while the call still runs', async () => {
    const { clock, read, outcomes, add } = rig()
    add('first')
    await clock.advance(millis(250))
    add('a', { inputs: ['x'], inputBytes: bytes(1000) })
    await clock.advance(millis(60))
    expect(read).toEqual(['a'])
    expect(outcomes.has('a')).toBe(false)
  })

  it('does not tell so while a call may wait behind another instance\'s, as after a change of gatherers', async () => {
    const { clock, caller, read, add } = rig()
    add('a', { inputs: ['x'], inputBytes: bytes(1000) })
    await clock.advance(millis(60))
    expect(read).toEqual([])
    await clock.advance(millis(300))
    caller.delay = 200
    add('b')
    await clock.advance(millis(500))
    add('c', { inputs: ['x'], inputBytes: bytes(1000) })
    await clock.advance(millis(60))
    expect(read).toEqual([])
  })
})

import { brand, bytes, millis, seconds, SILENT_LOG, VirtualClock } from '@papayahill/common'
import type { DomainId, EndpointId, Incarnation, InstanceId, Json } from '@papayahill/common'
import { UNLIMITED } from '@papayahill/limits'
import type { PeerMember, Peers } from '@papayahill/peers'
import fc from 'fast-check'
import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { BacklogTracker } from './BacklogTracker.js'
import type { BatchCoordinator } from './BatchCoordinator.js'
import { CoordinatorRoster } from './CoordinatorRoster.js'
import { CoordinatorWaits } from './CoordinatorWaits.js'
import { EndpointCalls } from './EndpointCalls.js'
import { GroupBatcher } from './GroupBatcher.js'
import { planBatches } from './planBatches.js'
import type { EndpointCapacity, WaitingPiece } from './planBatches.js'
import { StageOrderRouter } from './StageOrderRouter.js'
import { stageEndpoint, stagePiece, TEST_PROFILE } from './testing/stageEndpoint.js'
import type { BatchAnswer, GroupId, Piece, PieceFault, PieceOutcome, StageOrder } from './types.js'

const SEED = Number(process.env.MODEL_SEED ?? 1)
const RUNS = Number(process.env.MODEL_RUNS ?? 150)

/** Counts rounds, and throws once there are too many at one time, so that a turn that does not end fails instead of hanging. */
class RoundGuard {
  readonly #clock: VirtualClock
  readonly #most: number
  #at = millis(-1)
  #rounds = 0
  /** What the guard has thrown, since its callers may catch it. */
  broken: Error | undefined

  constructor (clock: VirtualClock, most: number) {
    this.#clock = clock
    this.#most = most
  }

  count (): void {
    if (this.#clock.now() !== this.#at) this.#rounds = 0
    this.#at = this.#clock.now()
    if (++this.#rounds <= this.#most) return
    this.broken = new Error(`more than ${this.#most} rounds at ${this.#at} ms`)
    throw this.broken
  }
}

const DEADLINE = seconds(3)
const PIECES: readonly Piece[] = [0, 1].map((index) => stagePiece('r', { index, deadline: DEADLINE }))

/** What another instance does with an order, each at once. */
const REACTIONS = ['fails', 'leaving', 'unreached', 'moves', 'accepts'] as const
type Reaction = typeof REACTIONS[number]

/** A change of what this instance believes, before an order is answered. */
const CHANGES = ['nothing', 'another incarnation', 'a member goes', 'all members come', 'reaches nothing', 'reaches all'] as const

const STEP = fc.record({ reaction: fc.constantFrom(...REACTIONS), change: fc.constantFrom(...CHANGES) })

const AMOUNT = fc.constantFrom(0, 0.3, 1, 2.5, 60, 1e12, Infinity)
const REQUEST = fc.record({ pieces: fc.integer({ min: 1, max: 30 }), resultBytes: AMOUNT, losses: fc.constantFrom(0, 1, 3, 40) })

const memberOf = (at: number, life = 1): PeerMember => ({
  id: brand<InstanceId>(`p${at}`), incarnation: brand<Incarnation>(`p${at}#${life}`), domain: brand<DomainId>('hall'), silence: millis(0)
})

describe('a turn of the event loop ends', () => {
  // Guards against orders that go around between instances that all refuse at once, while rosters, reach and gossip disagree.
  it('while an order finds no instance that keeps it', async () => {
    await fc.assert(fc.asyncProperty(
      fc.integer({ min: 1, max: 9 }),
      fc.array(STEP, { minLength: 1, maxLength: 12 }),
      fc.constantFrom<PieceFault>('moved', 'failed'),
      fc.boolean(),
      async (others, script, localFault, isLeaving) => {
        const clock = new VirtualClock()
        const guard = new RoundGuard(clock, 4 * (others + 1))
        let members = Array.from({ length: others }, (_none, at) => memberOf(at))
        let asked = 0
        let reachesAll = true
        const reach = { version: 0, reaches: () => reachesAll, isReachedBy: () => reachesAll }
        const change = (kind: typeof CHANGES[number]): void => {
          if (kind === 'another incarnation') members = members.map((_member, at) => memberOf(at, asked % 7 + 1))
          if (kind === 'a member goes') members = members.slice(1)
          if (kind === 'all members come') members = Array.from({ length: others }, (_none, at) => memberOf(at))
          if (kind.startsWith('reaches')) reachesAll = kind === 'reaches all'
          reach.version++
        }
        let receive: (from: InstanceId, body: Json) => unknown = () => {}
        const answers: Record<Reaction, (to: InstanceId, body: { readonly id: string }) => Result<Json, { kind: 'unreachable', detail: string }>> = {
          fails: () => Result.err({ kind: 'unreachable', detail: 'no link' }),
          leaving: () => Result.ok('leaving'),
          unreached: () => Result.ok('unreached'),
          moves: (to, { id }) => {
            receive(to, { kind: 'done', id, endpoints: [], outcomes: PIECES.map(() => [5, -1]) })
            return Result.ok({})
          },
          accepts: () => Result.ok({})
        }
        const peers = {
          self: brand<InstanceId>('self'),
          incarnation: brand<Incarnation>('self#1'),
          members: () => members,
          handle: (_topic: string, handler: typeof receive) => { receive = handler },
          isConnected: (id: InstanceId) => members.some((member) => member.id === id),
          send: () => {},
          ask: async (to: InstanceId, _topic: string, body: { readonly id: string }) => {
            guard.count()
            const step = script[asked++ % script.length]!
            const answer = answers[step.reaction](to, body)
            change(step.change)
            return answer
          }
        } as unknown as Peers
        const coordinator = {
          accept: (order: StageOrder, _listener: unknown, onDone: (outcomes: readonly PieceOutcome[]) => void) => {
            guard.count()
            clock.after(millis(1), () => onDone(order.pieces.map(() => ({ fault: localFault, endpoint: undefined }))))
            return []
          }
        } as unknown as BatchCoordinator
        const roster = new CoordinatorRoster({ clock, peers, reach })
        if (isLeaving) roster.leave()
        const router = new StageOrderRouter({
          clock,
          log: SILENT_LOG,
          peers,
          coordinator,
          roster,
          groups: { groupOf: () => undefined },
          backlogs: new BacklogTracker(clock),
          waits: new CoordinatorWaits(clock),
          loopDelay: { current: millis(0) }
        })
        void router.run({ group: brand<GroupId>('encode/0'), places: [], pieces: PIECES }, { onInputsRead: () => {} }).catch(() => {})
        await clock.advance(millis(1000))
        expect(guard.broken).toBeUndefined()
      }
    ), { numRuns: RUNS, seed: SEED })
  })

  // Guards against batches that go back and forth between a queue and an endpoint that answers each at once.
  it('while endpoints answer, refuse or lose every batch at once', async () => {
    const kinds = ['answered', 'room', 'gone', 'refused', 'unreachable', 'lost', 'withdrawn'] as const
    await fc.assert(fc.asyncProperty(
      fc.array(fc.constantFrom(...kinds), { minLength: 1, maxLength: 10 }),
      fc.integer({ min: 1, max: 4 }),
      fc.record({
        slots: fc.constantFrom(0, 1, 3),
        size: fc.constantFrom(0, 0.5, 1, 7, 1e9),
        callTime: fc.constantFrom(0, 1, 200, 1e9),
        pieceTime: fc.constantFrom(0, 10),
        resultCapacity: fc.constantFrom(0, 5, 1000),
        resultTtl: fc.constantFrom(0, 1000)
      }),
      async (script, count, fields) => {
        const clock = new VirtualClock()
        const pieces = 20
        const guard = new RoundGuard(clock, 10 * pieces)
        const profile = {
          ...TEST_PROFILE,
          ...fields,
          callTime: millis(fields.callTime),
          pieceTime: millis(fields.pieceTime),
          resultCapacity: bytes(fields.resultCapacity),
          resultTtl: millis(fields.resultTtl)
        }
        let called = 0
        const call = async (_endpoint: unknown, sent: readonly Piece[]): Promise<BatchAnswer> => {
          guard.count()
          const kind = script[called++ % script.length]!
          if (kind === 'refused' || kind === 'unreachable') return { kind, detail: '' }
          if (kind === 'lost') return { kind, detail: '', isConnectionLost: true }
          if (kind === 'withdrawn') return { kind: 'lost', detail: '', isConnectionLost: false, isWithdrawn: true }
          return { kind: 'answered', outcomes: sent.map(({ index }) => kind === 'answered' ? { handle: `h${index}` } : { fault: kind }) }
        }
        const endpoints = Array.from({ length: count }, (_none, at) => stageEndpoint(`e${at}`))
        const caller = { call, free: async () => { guard.count() } }
        const calls = new Map<EndpointId, EndpointCalls>()
        for (const endpoint of endpoints) {
          calls.set(endpoint.id, new EndpointCalls({
            clock, log: SILENT_LOG, caller, endpoint, limits: UNLIMITED, profile: () => profile, onMemoryFreed: () => batcher.pump()
          }))
        }
        const batcher = new GroupBatcher({ clock, log: SILENT_LOG, callsOf: (id) => calls.get(id) })
        const places = endpoints.map(({ id }) => ({ endpoint: id, cost: millis(0) }))
        // A piece that has failed is ordered again at once, as a request does, and its result is freed.
        const add = (index: number, triesLeft: number): void => batcher.add({
          piece: stagePiece(`r${index % 3}`, { index, deadline: DEADLINE }),
          places,
          onInputsRead: () => {},
          settle: (outcome) => {
            if ('handle' in outcome) return calls.get(outcome.endpoint)?.free([outcome.handle])
            if (triesLeft === 0) return
            add(index, triesLeft - 1)
            batcher.pump()
          }
        })
        for (let index = 0; index < pieces; index++) add(index, 4)
        batcher.pump()
        await clock.advance(seconds(4))
        expect(guard.broken).toBeUndefined()
        expect(batcher.size).toBe(0)
      }
    ), { numRuns: RUNS, seed: SEED })
  })

  // Guards against a plan that places no piece in a round, and against a step of its own for each of many pieces and endpoints.
  it('while pieces are planned for endpoints of any capacity', () => {
    fc.assert(fc.property(
      fc.array(REQUEST, { maxLength: 30 }),
      fc.array(fc.tuple(AMOUNT, AMOUNT, AMOUNT, AMOUNT, AMOUNT, AMOUNT, AMOUNT, fc.boolean()), { maxLength: 12 }),
      (requests, capacities) => {
        let steps = 0
        const guarded = (capacity: EndpointCapacity): EndpointCapacity => new Proxy(capacity, {
          get: (target, field: keyof EndpointCapacity) => {
            if (++steps > 2_000_000) throw new Error('more than 2,000,000 steps')
            return target[field]
          }
        })
        const all = capacities.map(([freeAt, spacing, maxPieces, freeBytes, totalBytes, callTime, pieceTime, isAvailable], at) => guarded({
          endpoint: brand<EndpointId>(`e${at}`),
          isAvailable,
          freeAt: millis(freeAt),
          spacing: millis(spacing),
          maxPieces,
          freeBytes,
          totalBytes,
          callTime: millis(callTime),
          pieceTime: millis(pieceTime)
        }))
        const places = all.map((_capacity, at) => ({ endpoint: brand<EndpointId>(`e${at}`), cost: millis(0) }))
        const waitingOf = (piece: Piece): WaitingPiece => ({ piece, places, settle: () => {}, onInputsRead: () => {} })
        const waiting = requests.flatMap(({ pieces, resultBytes, losses }, at) => Array.from({ length: pieces }, (_none, index) =>
          waitingOf(stagePiece(`r${at}`, { index, losses, resultBytes: bytes(resultBytes), deadline: millis(Infinity) }))))
        const { batches, late, unplaced } = planBatches(waiting, all)
        const sent = [...batches.values()].flat()
        expect(new Set([...sent, ...late, ...unplaced]).size).toBe(sent.length + late.length + unplaced.length)
      }
    ), { numRuns: RUNS, seed: SEED })
  })
})

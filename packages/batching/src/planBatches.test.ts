import { brand, bytes, millis } from '@papayahill/common'
import type { EndpointId } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { MAX_CALL_CHARACTERS, MAX_CALL_INPUTS } from './constants.js'
import { planBatches } from './planBatches.js'
import type { BatchPlan, EndpointCapacity, WaitingPiece } from './planBatches.js'
import { stagePiece } from './testing/stageEndpoint.js'
import type { Piece } from './types.js'

const [a, b] = ['a', 'b'].map((id) => brand<EndpointId>(id)) as [EndpointId, EndpointId]

const capacityOf = (endpoint: EndpointId, fields: Partial<EndpointCapacity> = {}): EndpointCapacity => ({
  endpoint,
  isAvailable: true,
  freeAt: millis(0),
  maxPieces: 2,
  freeBytes: 1000,
  spacing: millis(0),
  totalBytes: 1000,
  callTime: millis(200),
  pieceTime: millis(10),
  ...fields
})

const waitingOf = (piece: Piece, costs: Readonly<Record<string, number>> = { a: 0, b: 0 }): WaitingPiece => ({
  piece,
  places: Object.entries(costs).map(([endpoint, cost]) => ({ endpoint: brand<EndpointId>(endpoint), cost: millis(cost) })),
  settle: () => {},
  onInputsRead: () => {}
})

const plan = (pieces: readonly Piece[], ...capacities: readonly EndpointCapacity[]): BatchPlan =>
  planBatches(pieces.map((piece) => waitingOf(piece)), capacities)

const namesOf = (waiting: readonly WaitingPiece[] | undefined): readonly string[] => (waiting ?? []).map(({ piece }) => piece.request)

const piecesOf = (request: string, count: number, fields: Partial<Piece> = {}): readonly Piece[] =>
  Array.from({ length: count }, (_none, index) => stagePiece(request, { index, ...fields }))

describe('planBatches', () => {
  // Guards against calls whose bodies fill the memory: 60 pieces that name 4096 inputs each are 5 MB of JSON.
  it('bounds the inputs that the pieces of a call name together', () => {
    const call = { maxPieces: 60, freeBytes: 1e6 }
    const inputsOf = (count: number): readonly string[] => Array.from({ length: count }, (_none, at) => `h${at}`)
    const sentOf = (count: number): number | undefined =>
      plan(piecesOf('r', 100, { inputs: inputsOf(count) }), capacityOf(a, call)).batches.get(a)?.length
    expect([0, 10, 500, 1000, 4096, MAX_CALL_INPUTS, 3 * MAX_CALL_INPUTS].map(sentOf)).toEqual([60, 60, 32, 16, 4, 1, 1])
    const [small, large] = [piecesOf('small', 20, { inputs: inputsOf(10) }), piecesOf('large', 20, { inputs: inputsOf(4096), due: millis(10_001) })]
    const sent = plan([...small, ...large], capacityOf(a, call)).batches.get(a) ?? []
    expect(sent.reduce((sum, { piece }) => sum + piece.inputs.length, 0)).toBeLessThanOrEqual(MAX_CALL_INPUTS)
  })

  // Guards against calls whose bodies fill the memory, although their pieces name few inputs: each repeats its id, key and handles.
  describe('bounds the characters that the pieces of a call list together', () => {
    const call = { maxPieces: 60, freeBytes: 1e6 }
    const sentOf = (pieces: readonly Piece[]): readonly WaitingPiece[] => plan(pieces, capacityOf(a, call)).batches.get(a) ?? []
    const listedBy = (sent: readonly WaitingPiece[]): number =>
      JSON.stringify(sent.map(({ piece: { request, key, inputs } }) => [request, key, inputs])).length

    it.each([
      ['ids', (length: number) => piecesOf('r'.repeat(length), 60)],
      ['keys', (length: number) => piecesOf('r', 60, { key: 'k'.repeat(length) })],
      ['keys with escapes', (length: number) => piecesOf('r', 60, { key: '"'.repeat(length / 2) })],
      ['handles', (length: number) => piecesOf('r', 60, { inputs: Array.from({ length: 64 }, () => 'h'.repeat(length / 64)) })]
    ])('of long %s', (_name, piecesWith) => {
      expect([128, 16_000, 64_000, 3 * MAX_CALL_CHARACTERS].map((length) => sentOf(piecesWith(length)).length)).toEqual([60, 60, 16, 1])
    })

    it('of requests with long and short ids', () => {
      const small = piecesOf('small', 20)
      const large = piecesOf('r'.repeat(64_000), 40, { due: millis(10_001) })
      expect(listedBy(sentOf([...small, ...large]))).toBeLessThanOrEqual(MAX_CALL_CHARACTERS)
      const largeFirst = large.map((piece) => ({ ...piece, due: millis(9000) }))
      expect(listedBy(sentOf([...largeFirst, ...small]))).toBeLessThanOrEqual(MAX_CALL_CHARACTERS)
    })
  })

  describe('order', () => {
    it('sends what is due first', () => {
      const pieces = [stagePiece('late', { due: millis(3000) }), stagePiece('soon', { due: millis(500) }), stagePiece('mid', { due: millis(900) })]
      expect(namesOf(plan(pieces, capacityOf(a)).batches.get(a))).toEqual(['soon', 'mid'])
    })

    it('makes pieces that cannot be in time yield, and serves the more urgent of them first', () => {
      const pieces = [
        stagePiece('missed', { due: millis(100), priority: 1 }),
        stagePiece('missed, urgent', { due: millis(150), priority: 0 }),
        stagePiece('in time', { due: millis(2000) })
      ]
      expect(namesOf(plan(pieces, capacityOf(a)).batches.get(a))).toEqual(['in time', 'missed, urgent'])
    })

    it('makes pieces yield that would be late behind the others, so that as many as possible are in time', () => {
      const pieces = ['p', 'q'].map((name, at) => stagePiece(name, { due: millis(200 + at) }))
      const last = stagePiece('last', { due: millis(700) })
      const { batches } = plan([...pieces, last], capacityOf(a))
      expect(namesOf(batches.get(a))).toEqual(['last', 'p'])
    })

    it('serves the latest due first if not all can be in time, and more urgent ones before', () => {
      const pieces = [300, 310, 320].map((due) => stagePiece(`due ${due}`, { due: millis(due) }))
      const urgent = stagePiece('urgent', { due: millis(250), priority: 0 })
      expect(namesOf(plan([...pieces, urgent], capacityOf(a)).batches.get(a))).toEqual(['urgent', 'due 320'])
    })

    it('serves the more urgent first of two that are due at about the same time', () => {
      const pieces = [stagePiece('relaxed', { due: millis(900), priority: 2 }), stagePiece('urgent', { due: millis(1000), priority: 0 })]
      expect(namesOf(plan(pieces, capacityOf(a, { maxPieces: 1 })).batches.get(a))).toEqual(['urgent'])
    })
  })

  describe('places', () => {
    it('spreads requests over free endpoints', () => {
      const { batches } = plan([...piecesOf('p', 2), ...piecesOf('q', 2)], capacityOf(a), capacityOf(b))
      expect(batches.size).toBe(2)
    })

    it('keeps a piece for an endpoint that is free soon if the free one is slow', () => {
      const slow = capacityOf(b, { callTime: millis(1000), pieceTime: millis(50) })
      const busy = capacityOf(a, { isAvailable: false, freeAt: millis(300) })
      expect(plan([stagePiece('p')], busy, slow).batches.size).toBe(0)
    })

    it('waits for the endpoint near the inputs for at most the cost of the other', () => {
      const far = { a: 0, b: 100 }
      const busyUntil = (freeAt: number): EndpointCapacity => capacityOf(a, { isAvailable: false, freeAt: millis(freeAt) })
      expect(planBatches([waitingOf(stagePiece('p'), far)], [busyUntil(90), capacityOf(b)]).batches.size).toBe(0)
      expect(planBatches([waitingOf(stagePiece('p'), far)], [busyUntil(110), capacityOf(b)]).batches.size).toBe(1)
    })

    it('returns the pieces that no endpoint may run', () => {
      expect(namesOf(planBatches([waitingOf(stagePiece('p'), { gone: 0 })], [capacityOf(a)]).unplaced)).toEqual(['p'])
    })
  })

  describe('memory', () => {
    it('never plans more results than there is memory for', () => {
      const pieces = ['p', 'q', 'r'].map((name) => stagePiece(name, { resultBytes: bytes(10) }))
      expect(plan(pieces, capacityOf(a, { maxPieces: 9, freeBytes: 25 })).batches.get(a)).toHaveLength(2)
    })

    it('terminates without a call if an endpoint holds more than its capacity', () => {
      expect(plan([stagePiece('p')], capacityOf(a, { freeBytes: -50 })).batches.size).toBe(0)
    })

    it('splits a request only if there is memory for all of it', () => {
      const pieces = [stagePiece('small', { due: millis(900) }), ...piecesOf('large', 3, { due: millis(2000) })]
      const tight = plan(pieces, capacityOf(a, { maxPieces: 3, freeBytes: 35 }))
      expect(namesOf(tight.batches.get(a))).toEqual(['small'])
      expect(namesOf(plan(piecesOf('large', 3), capacityOf(a)).batches.get(a))).toEqual(['large', 'large'])
    })
  })

  // Guards against calls whose lists of inputs, one for each piece, take more memory than an instance has.
  // Guards against a coordinator that is slower the longer its queue is, until it has no time for anything else.
  it('compares requests with each other, not all their pieces', () => {
    let reads = 0
    const counted = (piece: Piece): Piece => Object.defineProperty({ ...piece }, 'due', {
      get: () => {
        reads++
        return piece.due
      }
    })
    const pieces = Array.from({ length: 50 }, (_none, at) => piecesOf(`r${at}`, 40, { due: millis(10_000 - 7 * at) })).flat()
    plan(pieces.map(counted), capacityOf(a, { maxPieces: 60, freeBytes: 1e6, totalBytes: 1e6 }))
    expect(reads).toBeLessThan(pieces.length)
  })

  it('puts few pieces with very many inputs into one call, and as many as fit of those with a usual number', () => {
    const callOf = (inputs: number): readonly WaitingPiece[] | undefined => {
      const shared = Array.from({ length: inputs }, (_none, at) => `h${at}`)
      return plan(piecesOf('p', 52, { inputs: shared }), capacityOf(a, { maxPieces: 52, freeBytes: 1e6, totalBytes: 1e6 })).batches.get(a)
    }
    expect(callOf(4096)).toHaveLength(4)
    expect(callOf(52)).toHaveLength(52)
  })

  describe('deadlines', () => {
    it('returns pieces at once that would end after their deadline behind the others', () => {
      const pieces = ['p', 'q', 'r', 's'].map((name, at) => stagePiece(name, { due: millis(100 + at), deadline: millis(400) }))
      expect(namesOf(plan(pieces, capacityOf(a)).late)).toEqual(['r', 's'])
    })
  })
})

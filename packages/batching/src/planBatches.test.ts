import { brand, bytes, millis } from '@papayahill/common'
import type { EndpointId } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { planBatches } from './planBatches.js'
import type { BatchPlan, EndpointPace, WaitingPiece } from './planBatches.js'
import { stagePiece } from './testing/stageEndpoint.js'
import type { Piece } from './types.js'

const [a, b] = ['a', 'b'].map((id) => brand<EndpointId>(id)) as [EndpointId, EndpointId]

const paceOf = (endpoint: EndpointId, fields: Partial<EndpointPace> = {}): EndpointPace => ({
  endpoint, isOpen: true, freeAt: millis(0), size: 2, room: 1000, wholeRoom: 1000, callTime: millis(200), pieceTime: millis(10), ...fields
})

const waitingOf = (piece: Piece, costs: Readonly<Record<string, number>> = { a: 0, b: 0 }): WaitingPiece => ({
  piece,
  places: Object.entries(costs).map(([endpoint, cost]) => ({ endpoint: brand<EndpointId>(endpoint), cost: millis(cost) })),
  settle: () => {},
  read: () => {}
})

const plan = (pieces: readonly Piece[], ...paces: readonly EndpointPace[]): BatchPlan =>
  planBatches(pieces.map((piece) => waitingOf(piece)), paces)

const namesOf = (waiting: readonly WaitingPiece[] | undefined): readonly string[] => (waiting ?? []).map(({ piece }) => piece.request)

const parts = (request: string, count: number, fields: Partial<Piece> = {}): readonly Piece[] =>
  Array.from({ length: count }, (_none, index) => stagePiece(request, { index, ...fields }))

describe('planBatches', () => {
  describe('order', () => {
    it('takes what is due first', () => {
      const pieces = [stagePiece('late', { due: millis(3000) }), stagePiece('soon', { due: millis(500) }), stagePiece('mid', { due: millis(900) })]
      expect(namesOf(plan(pieces, paceOf(a)).batches.get(a))).toEqual(['soon', 'mid'])
    })

    it('lets pieces that cannot be in time give way, the more urgent of them first', () => {
      const pieces = [
        stagePiece('missed', { due: millis(100), priority: 1 }),
        stagePiece('missed, urgent', { due: millis(150), priority: 0 }),
        stagePiece('hopeful', { due: millis(2000) })
      ]
      expect(namesOf(plan(pieces, paceOf(a)).batches.get(a))).toEqual(['hopeful', 'missed, urgent'])
    })

    it('lets pieces give way that would be late behind the others, so that each place serves one in time', () => {
      const pieces = ['p', 'q'].map((name, at) => stagePiece(name, { due: millis(200 + at) }))
      const last = stagePiece('last', { due: millis(700) })
      const { batches } = plan([...pieces, last], paceOf(a))
      expect(namesOf(batches.get(a))).toEqual(['last', 'p'])
    })

    it('serves the latest due first where not all can be in time, the more urgent of them before', () => {
      const pieces = [300, 310, 320].map((due) => stagePiece(`due ${due}`, { due: millis(due) }))
      const urgent = stagePiece('urgent', { due: millis(250), priority: 0 })
      expect(namesOf(plan([...pieces, urgent], paceOf(a)).batches.get(a))).toEqual(['urgent', 'due 320'])
    })

    it('puts the more urgent of two first that are due about the same time', () => {
      const pieces = [stagePiece('relaxed', { due: millis(900), priority: 2 }), stagePiece('urgent', { due: millis(1000), priority: 0 })]
      expect(namesOf(plan(pieces, paceOf(a, { size: 1 })).batches.get(a))).toEqual(['urgent'])
    })
  })

  describe('places', () => {
    it('spreads requests over endpoints that are free', () => {
      const { batches } = plan([...parts('p', 2), ...parts('q', 2)], paceOf(a), paceOf(b))
      expect(batches.size).toBe(2)
    })

    it('leaves a piece for an endpoint that is free soon where the free one is slow', () => {
      const slow = paceOf(b, { callTime: millis(1000), pieceTime: millis(50) })
      const busy = paceOf(a, { isOpen: false, freeAt: millis(300) })
      expect(plan([stagePiece('p')], busy, slow).batches.size).toBe(0)
    })

    it('waits a little for the endpoint near the inputs, and no longer', () => {
      const far = { a: 0, b: 100 }
      const busyUntil = (freeAt: number): EndpointPace => paceOf(a, { isOpen: false, freeAt: millis(freeAt) })
      expect(planBatches([waitingOf(stagePiece('p'), far)], [busyUntil(90), paceOf(b)]).batches.size).toBe(0)
      expect(planBatches([waitingOf(stagePiece('p'), far)], [busyUntil(110), paceOf(b)]).batches.size).toBe(1)
    })

    it('tells which pieces no endpoint may make', () => {
      expect(namesOf(planBatches([waitingOf(stagePiece('p'), { gone: 0 })], [paceOf(a)]).unplaced)).toEqual(['p'])
    })
  })

  describe('room', () => {
    it('never makes more results than there is room for', () => {
      const pieces = ['p', 'q', 'r'].map((name) => stagePiece(name, { resultBytes: bytes(10) }))
      expect(plan(pieces, paceOf(a, { size: 9, room: 25 })).batches.get(a)).toHaveLength(2)
    })

    it('ends where an endpoint holds more than its room', () => {
      expect(plan([stagePiece('p')], paceOf(a, { room: -50 })).batches.size).toBe(0)
    })

    it('parts a request only where there is room for all of it', () => {
      const pieces = [stagePiece('small', { due: millis(900) }), ...parts('large', 3, { due: millis(2000) })]
      const tight = plan(pieces, paceOf(a, { size: 3, room: 35 }))
      expect(namesOf(tight.batches.get(a))).toEqual(['small'])
      expect(namesOf(plan(parts('large', 3), paceOf(a)).batches.get(a))).toEqual(['large', 'large'])
    })
  })

  describe('deadlines', () => {
    it('tells at once what cannot be made in time behind the others', () => {
      const pieces = ['p', 'q', 'r', 's'].map((name, at) => stagePiece(name, { due: millis(100 + at), deadline: millis(400) }))
      expect(namesOf(plan(pieces, paceOf(a)).late)).toEqual(['r', 's'])
    })
  })
})

import { bytes, millis } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { BatchQueue } from './BatchQueue.js'
import type { Piece } from './types.js'

const piece = (request: string, fields: Partial<Piece> = {}): Piece => ({
  request,
  stage: 0,
  index: 0,
  key: 'k',
  inputs: [],
  inputBytes: bytes(0),
  resultBytes: bytes(10),
  due: millis(1000),
  deadline: millis(5000),
  priority: 1,
  ...fields
})

const queueOf = (...pieces: readonly Piece[]): BatchQueue => {
  const queue = new BatchQueue()
  for (const one of pieces) queue.add({ piece: one, settle: () => {}, read: () => {} })
  return queue
}

const LIMITS = { size: 2, room: 1000, callTime: millis(200) }
const take = (queue: BatchQueue, now: number, limits = LIMITS): readonly string[] =>
  queue.take(millis(now), limits).map((waiting) => waiting.piece.request)

describe('BatchQueue', () => {
  describe('take', () => {
    it('takes what is due first', () => {
      const queue = queueOf(piece('late', { due: millis(3000) }), piece('soon', { due: millis(500) }), piece('mid', { due: millis(900) }))
      expect(take(queue, 0)).toEqual(['soon', 'mid'])
      expect(queue.size).toBe(1)
    })

    it('lets requests that cannot meet their target give way, the more urgent of them first', () => {
      const queue = queueOf(
        piece('missed', { due: millis(100), priority: 1 }),
        piece('missed, urgent', { due: millis(150), priority: 0 }),
        piece('hopeful', { due: millis(2000) })
      )
      expect(take(queue, 0)).toEqual(['hopeful', 'missed, urgent'])
    })

    it('never holds more results than there is room for', () => {
      const queue = queueOf(piece('a'), piece('b'), piece('c'))
      expect(take(queue, 0, { ...LIMITS, size: 9, room: 25 })).toEqual(['a', 'b'])
      expect(take(queue, 0, { ...LIMITS, room: 9 })).toEqual([])
    })

    it('parts a request only where there is room for all of it', () => {
      const parts = [0, 1, 2].map((index) => piece('large', { index, due: millis(2000) }))
      const queue = queueOf(piece('small', { due: millis(900) }), ...parts)
      expect(take(queue, 0, { size: 3, room: 35, callTime: millis(200) })).toEqual(['small'])
      expect(take(queue, 0, { size: 2, room: 1000, callTime: millis(200) })).toEqual(['large', 'large'])
    })
  })

  describe('expire', () => {
    const pace = { freeAt: millis(300), size: 2, callTime: millis(200), pieceTime: millis(10) }

    it('drops at once what cannot be made in time behind the others, and keeps the others', () => {
      const queue = queueOf(...['a', 'b', 'c', 'd'].map((name, at) => piece(name, { due: millis(900 + at), deadline: millis(600) })))
      const dropped = queue.expire(millis(0), pace).map((waiting) => waiting.piece.request)
      expect(dropped).toEqual(['c', 'd'])
      expect(queue.size).toBe(2)
    })
  })

  it('gives back the pieces of a request that was given up', () => {
    const queue = queueOf(piece('a'), piece('b'), piece('a', { index: 1 }))
    expect(queue.cancel('a').length).toBe(2)
    expect(queue.size).toBe(1)
  })
})

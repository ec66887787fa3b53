import { millis } from '@papayahill/common'
import type { Json } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { decodeLimitNotice, limitAfterAnswer, limitAfterNotice } from './NamedLimit.js'
import type { NamedLimit } from './NamedLimit.js'

const LEARNED_AT = millis(1000)
const limited = (perSecond: number | undefined, version = 3): NamedLimit =>
  ({ perSecond, version, source: 'answer', learnedAt: LEARNED_AT, confirmedAt: LEARNED_AT })

const answered = (known: NamedLimit | undefined, perSecond: number | undefined, sentAt: number): number | undefined =>
  limitAfterAnswer(known, { perSecond, sentAt: millis(sentAt) }, millis(2000))?.perSecond

describe('the limit of an endpoint', () => {
  describe('after an answer', () => {
    it('is the one that the answer names', () => {
      expect(answered(undefined, 2, 900)).toBe(2)
      expect(answered(limited(undefined), 2, 900)).toBe(2)
    })

    it('is withdrawn or raised by the answer to a request sent after its last confirmation', () => {
      expect(answered(limited(2), undefined, 1001)).toBeUndefined()
      expect(answered(limited(2), 5, 1001)).toBe(5)
    })

    it('is not withdrawn or raised by a late answer to an earlier request', () => {
      expect(answered(limited(2), undefined, 1000)).toBe(2)
      expect(answered(limited(2), 5, 1000)).toBe(2)
      const confirmed = limitAfterAnswer(limited(2), { perSecond: 2, sentAt: millis(1500) }, millis(1600))
      expect(answered(confirmed, undefined, 1500)).toBe(2)
    })

    it('is lowered at once', () => {
      expect(answered(limited(2), 0.5, 900)).toBe(0.5)
    })

    it('stays unknown if no answer ever named one', () => {
      expect(limitAfterAnswer(undefined, { perSecond: undefined, sentAt: millis(1) }, millis(2))).toBeUndefined()
    })
  })

  describe('after a notice from another instance', () => {
    const told = (known: NamedLimit | undefined, perSecond: number | null, version: number): number | undefined =>
      limitAfterNotice(known, { perSecond, version }, millis(2000))?.perSecond

    it('is the newer one', () => {
      expect(told(undefined, 2, 1)).toBe(2)
      expect(told(limited(2), null, 4)).toBeUndefined()
      expect(told(limited(2), null, 2)).toBe(2)
      expect(told(limited(undefined), 2, 2)).toBeUndefined()
    })

    it('is the lower one if two instances observed different changes', () => {
      expect(told(limited(2), 1, 3)).toBe(1)
      expect(told(limited(2), null, 3)).toBe(2)
      expect(told(limited(undefined), 2, 3)).toBe(2)
    })

    it('is not withdrawn by the answer to a request that was sent before the notice', () => {
      const known = limitAfterNotice(undefined, { perSecond: 2, version: 1 }, millis(2000))
      expect(answered(known, undefined, 1999)).toBe(2)
    })
  })

  it.each<Json>([
    null, 7, {}, { perSecond: -1, version: 1 }, { perSecond: 0, version: 1 }, { perSecond: 2, version: 0 }, { perSecond: '2', version: 1 },
    { perSecond: 2, version: 1.5 }
  ])('ignores a malformed notice (%j)', (value) => {
    expect(decodeLimitNotice(value)).toBeUndefined()
  })
})

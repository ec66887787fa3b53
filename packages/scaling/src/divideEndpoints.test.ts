import { brand } from '@papayahill/common'
import type { DomainId } from '@papayahill/common'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { divideEndpoints } from './divideEndpoints.js'

const LIMITS = { min: 1, max: 9 }
const NAMES = ['a', 'b', 'c', 'd'].map((name) => brand<DomainId>(name))

describe('divideEndpoints', () => {
  it('divides evenly, and completely within the limits', () => {
    fc.assert(fc.property(fc.nat(50), fc.array(fc.nat(12), { minLength: 1, maxLength: 4 }), (total, counts) => {
      const divided = [...divideEndpoints(total, LIMITS, new Map(counts.map((count, at) => [NAMES[at]!, count]))).values()]
      const sum = divided.reduce((left, right) => left + right, 0)
      expect(Math.max(...divided) - Math.min(...divided)).toBeLessThanOrEqual(1)
      expect(sum).toBe(Math.min(LIMITS.max * counts.length, Math.max(LIMITS.min * counts.length, total)))
    }))
  })

  it('moves nothing between failure domains while the number stays the same', () => {
    fc.assert(fc.property(fc.integer({ min: 4, max: 36 }), fc.shuffledSubarray(NAMES, { minLength: 4 }), (total, order) => {
      const first = divideEndpoints(total, LIMITS, new Map(order.map((domain, at) => [domain, at])))
      expect(divideEndpoints(total, LIMITS, first)).toEqual(first)
    }))
  })
})

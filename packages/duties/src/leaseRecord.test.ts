import { brand, millis } from '@papayahill/common'
import type { Incarnation, InstanceId, Json } from '@papayahill/common'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { TOKENS_PER_ERA } from './constants.js'
import { compareLeases, encodeDatedLease, nextToken, parseDatedLease, parseLease } from './leaseRecord.js'
import type { DatedLease } from './leaseRecord.js'
import type { FencingToken } from './types.js'

const leaseOf = (era: number, token: number, renewal: number): DatedLease => ({
  era,
  record: {
    holder: brand<InstanceId>('ph-1'),
    incarnation: brand<Incarnation>('ph-1@1'),
    token: brand<FencingToken>(token),
    renewal,
    before: 'ph-2',
    isReleased: false,
    wait: millis(3500)
  }
})

describe('the record of the lease', () => {
  it('is the same after it was published', () => {
    const lease = leaseOf(2, 2 * TOKENS_PER_ERA, 7)
    expect(parseDatedLease(encodeDatedLease(lease))).toEqual(lease)
  })

  it('is not read from other values, so that a malformed row or message changes nothing', () => {
    const encoded = encodeDatedLease(leaseOf(0, 1, 1)) as Record<string, Json>
    for (const field of ['holder', 'incarnation', 'token', 'renewal', 'wait']) {
      expect(parseLease({ ...encoded, [field]: null }), field).toBeUndefined()
    }
    fc.assert(fc.property(fc.jsonValue(), (value) => parseDatedLease(value as Json) === undefined), { numRuns: 300, seed: 3 })
  })

  it('is newer by era, then token, then renewal', () => {
    const ascending = [leaseOf(0, 5, 90), leaseOf(0, 6, 2), leaseOf(0, 6, 3), leaseOf(1, 2, 1)]
    for (const [at, lease] of ascending.entries()) {
      for (const later of ascending.slice(at + 1)) expect(compareLeases(later, lease)).toBeGreaterThan(0)
    }
  })

  it('gets a token above all known ones and within the era, so that none goes back after a restore', () => {
    expect(nextToken(0, brand<FencingToken>(0), brand<FencingToken>(0))).toBe(1)
    expect(nextToken(0, brand<FencingToken>(4), brand<FencingToken>(9))).toBe(10)
    expect(nextToken(3, brand<FencingToken>(4), brand<FencingToken>(9))).toBe(3 * TOKENS_PER_ERA)
    expect(nextToken(1, brand<FencingToken>(TOKENS_PER_ERA + 5))).toBe(TOKENS_PER_ERA + 6)
  })
})

import { brand, millis } from '@papayahill/common'
import type { Incarnation, InstanceId, Json } from '@papayahill/common'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { TOKENS_PER_ERA } from './constants.js'
import { compareLeases, encodeDatedLease, encodeLease, nextToken, parseDatedLease, parseLease } from './leaseRecord.js'
import type { DatedLease } from './leaseRecord.js'
import type { FencingToken } from './types.js'

const leaseOf = (era: number, token: number, renewal: number): DatedLease => ({
  era,
  record: {
    holder: brand<InstanceId>('ph-1'),
    incarnation: brand<Incarnation>('ph-1@1'),
    token: brand<FencingToken>(token),
    renewal,
    before: '',
    isReleased: false,
    wait: millis(3500)
  }
})

describe('the record of the lease', () => {
  it('is the same after it was published, by its holder or by another instance that read it', () => {
    const lease = leaseOf(2, 2 * TOKENS_PER_ERA, 7)
    const reader = { id: brand<InstanceId>('ph-3'), incarnation: brand<Incarnation>('ph-3@1') }
    const holder = { id: lease.record.holder, incarnation: lease.record.incarnation }
    for (const sender of [reader, holder]) expect(parseDatedLease(encodeDatedLease(lease, sender.incarnation), sender)).toEqual(lease)
  })

  it('is not read from other values, so that a malformed row or message changes nothing', () => {
    const encoded = encodeLease(leaseOf(0, 1, 1).record)
    for (const field of ['holder', 'incarnation', 'token', 'renewal', 'wait']) {
      expect(parseLease({ ...encoded, [field]: null }), field).toBeUndefined()
    }
    const sender = { id: brand<InstanceId>('ph-3'), incarnation: brand<Incarnation>('ph-3@1') }
    expect(parseDatedLease([0, 1, '2', 3500, false], sender)).toBeUndefined()
    expect(parseDatedLease([0, 1, 2, -1, false], sender)).toBeUndefined()
    expect(parseDatedLease([0, 1, 2, 1e12, false], sender)).toBeUndefined()
    fc.assert(fc.property(fc.jsonValue(), (value) => parseLease(value as Json) === undefined), { numRuns: 300, seed: 3 })
  })

  it('is newer by era, then token, then renewal', () => {
    const ascending = [leaseOf(0, 5, 90), leaseOf(0, 6, 2), leaseOf(0, 6, 3), leaseOf(1, 2, 1)]
    for (const [at, lease] of ascending.entries()) {
      for (const later of ascending.slice(at + 1)) expect(compareLeases(later, lease)).toBeGreaterThan(0)
    }
  })

  it('gets a token above all known ones and within the era, so that none goes back after a restore', () => {
    const token = (value: number): FencingToken => brand<FencingToken>(value)
    expect(nextToken({ era: 0, revision: 0 }, token(0), token(0))).toBe(1)
    expect(nextToken({ era: 0, revision: 0 }, token(4), token(9))).toBe(10)
    expect(nextToken({ era: 3, revision: 0 }, token(4), token(9))).toBe(3 * TOKENS_PER_ERA)
    expect(nextToken({ era: 1, revision: 2 }, token(TOKENS_PER_ERA + 5))).toBe(TOKENS_PER_ERA + 6)
  })

  it('gets a token above that of a record which a late write of an earlier era has replaced, so that no two are the same', () => {
    const replaced = nextToken({ era: 2, revision: 7 }, brand<FencingToken>(3))
    const late = brand<FencingToken>(4)
    expect(nextToken({ era: 2, revision: 9 }, late)).toBeGreaterThan(replaced)
  })
})

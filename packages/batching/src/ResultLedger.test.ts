import { bytes, millis } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { ResultLedger } from './ResultLedger.js'

const TTL = millis(100)

describe('ResultLedger', () => {
  it('adds up what is held until it is freed or expires', () => {
    const ledger = new ResultLedger()
    ledger.add('a', bytes(3), millis(0), TTL)
    ledger.add('b', bytes(4), millis(50), TTL)
    ledger.add('c', bytes(5), millis(60), TTL)
    expect(ledger.usedBytes(millis(99))).toBe(12)
    expect(ledger.usedBytes(millis(100))).toBe(9)
    ledger.free('c')
    ledger.free('c')
    ledger.free('unknown')
    expect(ledger.usedBytes(millis(100))).toBe(4)
    expect(ledger.usedBytes(millis(500))).toBe(0)
  })

  it('counts a handle that is named twice once', () => {
    const ledger = new ResultLedger()
    ledger.add('a', bytes(3), millis(0), TTL)
    ledger.add('a', bytes(5), millis(10), TTL)
    expect(ledger.usedBytes(millis(105))).toBe(5)
  })
})

import { describe, expect, it } from 'vitest'
import { ByteCollector } from './ByteCollector.js'

const PARTS = 100_000

describe('ByteCollector', () => {
  it('returns the bytes in order, and then those that are added later', () => {
    const collector = new ByteCollector()
    for (const part of ['a', '', 'bcd', 'e'.repeat(100)]) collector.add(Buffer.from(part))
    expect(collector.size).toBe(104)
    const taken = collector.take()
    expect(collector.size).toBe(0)
    collector.add(Buffer.from('later'))
    expect(taken.toString()).toBe(`abcd${'e'.repeat(100)}`)
    expect(collector.bytes.toString()).toBe('later')
  })

  it('copies a part, which may be a view of memory that is used again', () => {
    const collector = new ByteCollector()
    const part = Buffer.from('part')
    collector.add(part)
    part.fill('x')
    expect(collector.bytes.toString()).toBe('part')
  })

  // Guards against memory that grows with the number of parts instead of their bytes.
  it('keeps parts of a byte in memory of twice their bytes at most', () => {
    const collector = new ByteCollector()
    const part = Buffer.from('x')
    for (let added = 0; added < PARTS; added++) collector.add(part)
    expect(collector.size).toBe(PARTS)
    expect(collector.bytes.buffer.byteLength).toBeLessThanOrEqual(2 * PARTS)
  })
})

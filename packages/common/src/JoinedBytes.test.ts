import { describe, expect, it } from 'vitest'
import { JoinedBytes } from './JoinedBytes.js'

describe('JoinedBytes', () => {
  it('joins parts of any size in order', () => {
    const joined = new JoinedBytes()
    const parts = ['', 'a', 'bc'.repeat(5000), 'd', '', 'ef'].map((text) => Buffer.from(text))
    for (const part of parts) joined.add(part)
    expect(joined.size).toBe(10_004)
    expect(joined.take().equals(Buffer.concat(parts))).toBe(true)
  })

  it('begins anew once its bytes are taken, and does not change those', () => {
    const joined = new JoinedBytes()
    joined.add(Buffer.from('first'))
    const first = joined.take()
    joined.add(Buffer.from('second'))
    expect([first.toString(), joined.take().toString(), joined.take().toString()]).toEqual(['first', 'second', ''])
  })

  // Guards against memory that is kept for each part, or that grows by a part at a time.
  it('takes at most twice the memory of its bytes, however small the parts are', () => {
    const joined = new JoinedBytes()
    for (let at = 0; at < 100_000; at++) joined.add(Buffer.of(at % 256))
    expect(joined.take().buffer.byteLength).toBeLessThanOrEqual(200_000)
  })
})

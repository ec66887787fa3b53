import { heldHeap } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { isWhole, partIdOf } from './partIdOf.js'

const BYTES_PER_MEGABYTE = 1_048_576

const usedMegabytes = (): number => heldHeap() / BYTES_PER_MEGABYTE

describe('partIdOf', () => {
  it('is the text, or its hash where that is long or like the id of a whole request', () => {
    expect(partIdOf('5c1e07a2')).toBe('5c1e07a2')
    expect(partIdOf('part-of-the-system-\u00e9')).toBe('part-of-the-system-\u00e9')
    expect(partIdOf('a'.repeat(41))).toMatch(/^#[0-9a-f]{16}$/)
    expect(isWhole(partIdOf('=5c1e07a2'))).toBe(false)
  })

  // Guards against crash reports of thousands of requests that hold all of their headers.
  it('does not keep the header that the text was cut out of', () => {
    const before = usedMegabytes()
    const ids = Array.from({ length: 2000 }, (_none, at) => {
      const header = Buffer.alloc(16_000, `the-part-of-request-${at}:100,`).toString('latin1')
      return partIdOf(header.split(':')[0]!)
    })
    const taken = usedMegabytes() - before
    expect(ids[1999]).toBe('the-part-of-request-1999')
    expect(taken).toBeLessThan(4)
  })
})

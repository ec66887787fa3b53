import { SeededRandom } from '@papayahill/common'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { ShareSplitter } from './ShareSplitter.js'

describe('ShareSplitter', () => {
  it('never deviates from the share by more than one call', () => {
    fc.assert(fc.property(fc.integer(), fc.double({ min: 0.001, max: 0.999, noNaN: true }), (seed, share) => {
      const splitter = new ShareSplitter(new SeededRandom(seed))
      let picked = 0
      for (let call = 1; call <= 500; call++) {
        if (splitter.pick(share)) picked++
        expect(Math.abs(picked - share * call)).toBeLessThanOrEqual(1)
      }
    }), { numRuns: 50, seed: 4 })
  })

  it('picks no call at 0 and every call at 1', () => {
    const splitter = new ShareSplitter(new SeededRandom(1))
    expect(splitter.pick(0)).toBe(false)
    expect(splitter.pick(1)).toBe(true)
  })
})

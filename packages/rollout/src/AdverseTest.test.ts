import { SeededRandom } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { AdverseTest } from './AdverseTest.js'

const SHARE = 0.05
const RATIOS = [4, 16, 64]

interface World {
  readonly newShare: number
  readonly oldShare: number
}

/** Updates until the net evidence reaches the limit, or undefined. */
const updatesUntil = (test: AdverseTest, world: World, seed: number, limit: number, updates: number): number | undefined => {
  const random = new SeededRandom(seed)
  for (let update = 1; update <= updates; update++) {
    const isNew = random.next() < SHARE
    const isAdverse = random.next() < (isNew ? world.newShare : world.oldShare)
    if (isAdverse) test.update({ new: isNew ? 1 : 0, old: isNew ? 0 : 1 }, SHARE)
    if (test.netNats >= limit) return update
  }
  return undefined
}

describe('AdverseTest', () => {
  describe('a version that fails as often as the old one', () => {
    it('reaches the limit in no more runs than the stated rate allows', () => {
      const errorRate = 0.05
      const limit = Math.log(RATIOS.length / errorRate)
      const runs = 300
      const found = Array.from({ length: runs }, (_, seed) =>
        updatesUntil(new AdverseTest(RATIOS), { newShare: 0.1, oldShare: 0.1 }, seed, limit, 5000))
      expect(found.filter((update) => update !== undefined).length).toBeLessThanOrEqual(errorRate * runs)
    })
  })

  describe('a version that fails far more often', () => {
    it('is found by failures of its own', () => {
      const limit = Math.log(RATIOS.length / 0.001)
      for (let seed = 0; seed < 50; seed++) {
        const update = updatesUntil(new AdverseTest(RATIOS), { newShare: 0.5, oldShare: 0.01 }, seed, limit, 2000)
        expect(update).toBeDefined()
      }
    })

    it('is found as soon after a long good time', () => {
      const test = new AdverseTest(RATIOS)
      updatesUntil(test, { newShare: 0.01, oldShare: 0.01 }, 1, Infinity, 20_000)
      test.update({ new: 8, old: 0 }, SHARE)
      expect(test.nats).toBeGreaterThan(15)
    })
  })

  it('gains nothing where there is no old version to compare with', () => {
    const test = new AdverseTest(RATIOS)
    test.update({ new: 50, old: 0 }, 1)
    expect(test.nats).toBe(0)
  })
})

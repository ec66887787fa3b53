import { brand } from '@papayahill/common'
import type { InstanceId } from '@papayahill/common'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { EvenShares } from './EvenShares.js'

const groupsOf = (count: number): readonly string[] => Array.from({ length: count }, (_none, at) => `encode/${at}`)
const idsOf = (count: number): readonly InstanceId[] => Array.from({ length: count }, (_none, at) => brand<InstanceId>(`i${at}`))

const sharesOf = (groups: readonly string[], candidates: readonly InstanceId[]): ReadonlyMap<string, InstanceId | undefined> => {
  const shares = new EvenShares<string, InstanceId>()
  shares.update(groups, candidates)
  return new Map(groups.map((group) => [group, shares.ownerOf(group)]))
}

describe('EvenShares', () => {
  // Guards against owners that get nothing while others get two.
  it('gives every item to one owner, and no owner two more than another one', () => {
    fc.assert(fc.property(fc.integer({ min: 0, max: 60 }), fc.integer({ min: 1, max: 40 }), (groups, candidates) => {
      const found = [...sharesOf(groupsOf(groups), idsOf(candidates)).values()]
      const counts = idsOf(candidates).map((id) => found.filter((each) => each === id).length)
      expect(found).not.toContain(undefined)
      expect(Math.max(...counts)).toBe(Math.ceil(groups / candidates))
      expect(Math.min(...counts)).toBe(Math.floor(groups / candidates))
    }), { seed: 1 })
  })

  it('finds the same shares whatever the order in which items and owners are known', () => {
    const groups = groupsOf(7)
    const ids = idsOf(10)
    expect(sharesOf(groups.toReversed(), ids.toReversed())).toEqual(sharesOf(groups, ids))
  })

  it('moves few items that an owner did not have when it leaves', () => {
    const groups = groupsOf(7)
    const ids = idsOf(20)
    const before = sharesOf(groups, ids)
    const moved = ids.map((gone) => {
      const after = sharesOf(groups, ids.filter((id) => id !== gone))
      return groups.filter((group) => before.get(group) !== gone && before.get(group) !== after.get(group)).length
    })
    expect(moved.reduce((sum, count) => sum + count, 0) / moved.length).toBeLessThan(0.3)
  })
})

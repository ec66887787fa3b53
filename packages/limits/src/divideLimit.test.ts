import { brand, MILLIS_PER_SECOND } from '@papayahill/common'
import type { InstanceId } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { BORROWED_TTL } from './constants.js'
import { holdersOf, shareRate } from './divideLimit.js'

/** The platform's rule: one and a half times the limit and 5 requests in any 4 seconds. */
const WINDOW_S = 4
const RATE_FACTOR = 1.5
const SLACK = 5
const LIMITS = [0.1, 0.2, 0.5, 1, 2, 3.7, 5, 20, 60, 200, 5000]

const ranksOf = (shares: number): readonly number[] => Array.from({ length: shares }, (_none, rank) => rank)

const idsOf = (count: number): readonly InstanceId[] => Array.from({ length: count }, (_none, at) => brand<InstanceId>(`i${at}`))

/**
 * Most requests in a window if the given shares, whose holders reach each other and nobody else, send all that they may,
 * borrowed tokens as late as possible.
 */
const mostInWindow = (perSecond: number, shares: number, ranks: readonly number[]): number =>
  ranks.reduce((sum, rank) => {
    const { interval, burst } = shareRate(perSecond, shares, rank, ranks)
    return sum + (WINDOW_S * MILLIS_PER_SECOND + BORROWED_TTL) / interval + burst
  }, 0)

describe.each([1, 6, 9, 60, 200, 420])('a limit divided between %i instances', (count) => {
  const instances = idsOf(count)
  const sharesOf = (perSecond: number): number => holdersOf('e1', perSecond, instances).length

  it.each(LIMITS)('of %d per second is kept by all holders together', (perSecond) => {
    const shares = sharesOf(perSecond)
    expect(mostInWindow(perSecond, shares, ranksOf(shares))).toBeLessThanOrEqual(RATE_FACTOR * WINDOW_S * perSecond + SLACK)
  })

  it.each(LIMITS)('of %d per second is kept by the two halves of a cut together, and by instances without any links', (perSecond) => {
    const shares = sharesOf(perSecond)
    const bound = RATE_FACTOR * WINDOW_S * perSecond + SLACK
    const ranks = ranksOf(shares)
    for (let left = 0; left <= shares; left++) {
      const halves = [ranks.slice(0, left), ranks.slice(left)]
      expect(halves.reduce((sum, half) => sum + mostInWindow(perSecond, shares, half), 0)).toBeLessThanOrEqual(bound)
    }
    expect(ranks.reduce((sum, rank) => sum + mostInWindow(perSecond, shares, [rank]), 0)).toBeLessThanOrEqual(bound)
  })

  it.each(LIMITS)('of %d per second is used in full while all holders are reachable', (perSecond) => {
    const shares = sharesOf(perSecond)
    const ranks = ranksOf(shares)
    const total = ranks.reduce((sum, rank) => sum + MILLIS_PER_SECOND / shareRate(perSecond, shares, rank, ranks).interval, 0)
    expect(total).toBeCloseTo(perSecond, 6)
  })
})

describe('holders of a limit', () => {
  it('differ between endpoints', () => {
    const holders = Array.from({ length: 40 }, (_none, at) => holdersOf(`e${at}`, 1, idsOf(60))).flat()
    expect(new Set(holders).size).toBeGreaterThan(40)
  })

  it('hold no more shares if one of them is unknown to others', () => {
    const all = idsOf(60)
    for (const missing of all) {
      const others = all.filter((id) => id !== missing)
      const added = holdersOf('e1', 5, others).filter((id) => !holdersOf('e1', 5, all).includes(id))
      expect(added.length).toBeLessThanOrEqual(1)
    }
  })
})

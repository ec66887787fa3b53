import { brand, millis, tokens } from '@papayahill/common'
import type { ClassId, Millis, StageId, StageRecord } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import type { RouteCounts } from './EvidenceCounts.js'
import { bucketOf } from './latencyBuckets.js'
import { RouteJudge } from './RouteJudge.js'
import { SideCounts } from './SideCounts.js'

const ROUTE = { class: brand<ClassId>('guide'), stage: brand<StageId>('generate') }

const CANCELLED = { outcome: 'cancelled', usage: { tokensCached: tokens(0) } } as StageRecord

interface Side {
  readonly calls: number
  readonly failed?: number
  readonly lost?: number
  readonly took?: number
  readonly isCached?: boolean
}

const sideOf = ({ calls, failed = 0, lost = 0, took = 100, isCached = false }: Side): SideCounts => {
  const counts = new SideCounts()
  counts.calls = calls
  counts.failed = failed
  counts.lost = lost
  const times = isCached ? counts.cached : counts.plain
  counts.timed = calls - failed - lost
  times[bucketOf(took)] = counts.timed
  return counts
}

const delta = (fresh: Side, old: Side): RouteCounts => ({ route: ROUTE, new: sideOf(fresh), old: sideOf(old) })
const at = (second: number): Millis => millis(second * 1000)

const judgeOver = (rounds: number, of: (round: number) => RouteCounts): RouteJudge => {
  const judge = new RouteJudge()
  for (let round = 0; round < rounds; round++) judge.update(of(round), at(round))
  return judge
}

describe('RouteJudge', () => {
  it('finds failures of the new version alone', () => {
    expect(judgeOver(10, () => delta({ calls: 1, failed: 1 }, { calls: 19 })).netNats).toBeGreaterThan(12)
  })

  it('finds slowness of the new version alone', () => {
    const judge = judgeOver(30, () => delta({ calls: 1, took: 300 }, { calls: 19 }))
    expect(judge.netNats).toBeGreaterThan(12)
    expect(judge.describe()).toContain('slower than')
  })

  it('does not blame the new version for a slowdown of both', () => {
    const judge = judgeOver(60, (round) => {
      const took = round < 20 ? 100 : 400
      return delta({ calls: 1, took }, { calls: 19, took })
    })
    expect(judge.netNats).toBeLessThan(4)
  })

  it('does not blame the new version for failures of both', () => {
    const judge = judgeOver(60, (round) => delta({ calls: 5, failed: round % 2 }, { calls: 95, failed: 10 }))
    expect(judge.netNats).toBeLessThan(4)
  })

  it('compares calls with a cached prefix with their like', () => {
    const judge = judgeOver(60, () => {
      const counts = delta({ calls: 1, took: 300 }, { calls: 19, took: 60, isCached: true })
      counts.old.add(sideOf({ calls: 5, took: 300 }))
      return counts
    })
    expect(judge.netNats).toBeLessThan(4)
  })

  it('finds slowness though the callers of slow calls leave', () => {
    const judge = judgeOver(40, () => {
      const counts = delta({ calls: 1 }, { calls: 19 })
      counts.new.clear()
      counts.new.calls = 1
      counts.new.count({ ...CANCELLED, took: millis(500) })
      return counts
    })
    expect(judge.netNats).toBeGreaterThan(12)
  })

  it('counts the calls that one restart of endpoints cut as one failure', () => {
    const cut = judgeOver(1, () => delta({ calls: 6, lost: 6 }, { calls: 94 }))
    const failed = judgeOver(1, () => delta({ calls: 6, failed: 6 }, { calls: 94 }))
    expect(cut.nats).toBeLessThan(failed.nats / 3)
  })
})

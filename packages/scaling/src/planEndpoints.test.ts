import { millis, SeededRandom } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { domainOf, EAST, MEMBERS, PlanRun, PROFILE, samplesOf, SLOTS, WEST } from './testing/planning.js'
import type { ScalingInput, ScalingPlan } from './types.js'

const totalOf = ({ endpoints }: ScalingPlan): number => [...endpoints.values()].reduce((sum, count) => sum + count, 0)

/** A load of so many calls, as chance varies it from second to second. */
const noisyLoad = (calls: number, random: SeededRandom): Partial<ScalingInput> => {
  const variation = (): number => Array.from({ length: 12 }, () => random.next()).reduce((sum, value) => sum + value, -6)
  return { samples: samplesOf(Math.max(0, calls + Math.sqrt(calls) * variation())) }
}

describe('planEndpoints', () => {
  describe('growth', () => {
    it('orders at once for a load that has grown', () => {
      const run = new PlanRun(3)
      run.planFor(20)
      const plan = run.plan({ samples: samplesOf(60) })
      expect(totalOf(plan)).toBeGreaterThanOrEqual(60 / SLOTS)
      expect(plan.reason).toBe('load')
    })

    it('orders for a growing load a boot time before it comes, so that no caller waits', () => {
      const run = new PlanRun(3)
      const loadAt = (second: number): number => 20 + Math.max(0, second - 20)
      for (let second = 0; second < 80; second++) {
        run.plan({ samples: samplesOf(loadAt(second)) })
        expect((run.listed(EAST) + run.listed(WEST)) * SLOTS).toBeGreaterThan(loadAt(second))
      }
    })

    it('follows steep growth by its trend: spare capacity alone does not last for a boot time', () => {
      const run = new PlanRun(3)
      const loadAt = (second: number): number => 20 + 4 * Math.max(0, second - 20)
      for (let second = 0; second < 70; second++) {
        run.plan({ samples: samplesOf(loadAt(second)) })
        const hasCaughtUp = second >= 34
        if (hasCaughtUp) expect((run.listed(EAST) + run.listed(WEST)) * SLOTS).toBeGreaterThan(loadAt(second) * 1.2)
      }
    })

    it('answers a burst with what it needs, and does not take its step for a trend', () => {
      const run = new PlanRun(3)
      run.planFor(30)
      run.planFor(6, () => ({ samples: samplesOf(50) }))
      expect(Math.max(...run.totals)).toBeLessThanOrEqual(50 / SLOTS * 2)
    })

    it('counts requests that wait or are refused, which the calls that run do not show', () => {
      const run = new PlanRun(3)
      run.planFor(20)
      const refused = samplesOf(48).map((sample) =>
        ({ ...sample, waiting: 5, refusedPerSecond: 30, newestPerSecond: sample.begunPerSecond + 30 }))
      const plan = run.plan({ samples: refused })
      expect(plan.reason).toBe('waiting')
      expect(totalOf(plan)).toBeGreaterThan(48 / SLOTS * 2)
    })

    it('stays within the limits of each failure domain', () => {
      const run = new PlanRun(3)
      expect([...run.planFor(20, () => ({ samples: samplesOf(5000) })).endpoints.values()]).toEqual([PROFILE.max, PROFILE.max])
      const idle = new PlanRun(3)
      expect([...idle.planFor(60, () => ({ samples: samplesOf(0) })).endpoints.values()]).toEqual([PROFILE.min, PROFILE.min])
    })

    it('plans for the concurrency that was learnt instead of the slots', () => {
      const planWith = (concurrency: number): number => totalOf(new PlanRun(4).planFor(12, () => ({
        samples: samplesOf(40), domains: [EAST, WEST].map((domain) => domainOf(domain, 4, { concurrency: 4 * concurrency }))
      })))
      expect(planWith(4)).toBeGreaterThanOrEqual(planWith(8) * 1.8)
    })
  })

  describe('steadiness', () => {
    it('does not flap: what chance does to a steady load rarely changes an order, and never takes one back within a boot time', () => {
      const run = new PlanRun(3)
      const random = new SeededRandom(5)
      run.planFor(300, () => noisyLoad(60, random))
      const changes = run.totals.map((total, at) => ({ at, by: total - (run.totals[at - 1] ?? total) }))
        .filter(({ at, by }) => at > 60 && by !== 0)
      const reversals = changes.filter(({ at, by }, index) => {
        const before = changes[index - 1]
        return by < 0 && before !== undefined && before.by > 0 && at - before.at < 8
      })
      expect(reversals).toEqual([])
      expect(changes.length).toBeLessThan(30)
    })

    it('releases only what was not needed for the whole fall window', () => {
      const run = new PlanRun(10)
      run.planFor(30, () => ({ samples: samplesOf(90) }))
      const before = run.totals.at(-1)!
      expect(run.plan({ samples: samplesOf(10) }).reason).toBe('recent')
      run.planFor(6, () => ({ samples: samplesOf(10) }))
      expect(run.totals.at(-1)).toBe(before)
      run.planFor(20, () => ({ samples: samplesOf(10) }))
      expect(run.totals.at(-1)).toBeLessThan(before / 2)
    })

    it('does not release endpoints because calls are short while endpoints are idle', () => {
      const run = new PlanRun(4)
      const busy = samplesOf(40)
      const idle = samplesOf(20, { holdTime: millis(200) }).map((sample) => ({ ...sample, running: 2.5 }))
      run.planFor(30, (second) => ({ samples: second % 2 === 0 ? busy : samplesOf(30, { holdTime: millis(300) }) }))
      const { demand } = run.plan({ samples: idle })
      expect(demand).toBeGreaterThan(10)
    })
  })

  describe('what releases nothing', () => {
    const idle = samplesOf(1)

    it('a new holder that has not heard of the instances for long enough', () => {
      const run = new PlanRun(10)
      expect(run.planFor(10, () => ({ samples: idle })).reason).toBe('samples')
      expect(run.totals.at(-1)).toBe(20)
    })

    it('samples of too few instances, and the time begins again after a gap', () => {
      const run = new PlanRun(10)
      run.planFor(9, () => ({ samples: idle }))
      run.plan({ samples: idle, heard: new Set(MEMBERS.slice(1)) })
      run.planFor(10, () => ({ samples: idle }))
      expect(run.totals.at(-1)).toBe(20)
      run.planFor(10, () => ({ samples: idle }))
      expect(run.totals.at(-1)).toBeLessThan(20)
    })

    it('samples that are missing altogether', () => {
      const run = new PlanRun(10)
      run.planFor(60, () => ({ samples: [], heard: new Set() }))
      expect(run.totals.at(-1)).toBe(20)
    })

    it('a move between versions under way, which may still order more', () => {
      const run = new PlanRun(3)
      expect(run.planFor(60, () => ({ samples: idle, isMoving: true })).reason).toBe('move')
      expect(run.totals.at(-1)).toBe(6)
      run.planFor(5, () => ({ samples: samplesOf(100), isMoving: true }))
      expect(run.totals.at(-1)).toBeGreaterThan(6)
    })

    it('endpoints that boot or are cold: they carry nothing yet', () => {
      const run = new PlanRun(2)
      const domains = [domainOf(EAST, 12, { listed: 4 }), domainOf(WEST, 12, { listed: 12, cold: 10 })]
      const plan = run.planFor(30, () => ({ domains, samples: samplesOf(40) }))
      expect(plan.reason).toBe('booting')
      expect(totalOf(plan)).toBe(24)
    })

    it('instances that are no longer alive do not count as missing', () => {
      const run = new PlanRun(10)
      run.planFor(40, () => ({ samples: idle.slice(1), members: new Set(MEMBERS.slice(1)), heard: new Set(MEMBERS.slice(1)) }))
      expect(run.totals.at(-1)).toBeLessThan(20)
    })
  })

  describe('a failure domain that is out', () => {
    const outOf = (run: PlanRun): Partial<ScalingInput> => ({
      domains: [
        domainOf(EAST, run.ordered(EAST), { isOut: true, listed: run.listed(EAST) }),
        domainOf(WEST, run.ordered(WEST), { listed: run.listed(WEST) })
      ],
      samples: samplesOf(40, { domain: WEST })
    })

    it('counts for nothing, and the others carry its demand', () => {
      const run = new PlanRun(4)
      run.planFor(20, () => ({ samples: samplesOf(40) }))
      const plan = run.plan(outOf(run))
      expect(plan.reason).toBe('domain-out')
      expect(plan.endpoints.get(WEST)! * SLOTS).toBeGreaterThan(40)
    })

    it('keeps its endpoints at first, and only the minimum when it stays out, idle', () => {
      const run = new PlanRun(4)
      run.planFor(20, () => ({ samples: samplesOf(40) }))
      expect(run.plan(outOf(run)).endpoints.get(EAST)).toBeGreaterThanOrEqual(4)
      for (let second = 0; second < 20; second++) run.plan(outOf(run))
      expect(run.ordered(EAST)).toBe(PROFILE.min)
    })

    it('keeps its endpoints while calls run there', () => {
      const run = new PlanRun(4)
      run.planFor(20, () => ({ samples: samplesOf(40) }))
      for (let second = 0; second < 40; second++) run.plan({ ...outOf(run), samples: samplesOf(40, { domain: EAST }) })
      expect(run.ordered(EAST)).toBeGreaterThanOrEqual(4)
    })

    it('comes back: the others release nothing before its endpoints serve', () => {
      const run = new PlanRun(4)
      run.planFor(20, () => ({ samples: samplesOf(40) }))
      for (let second = 0; second < 40; second++) run.plan(outOf(run))
      for (let second = 0; second < 30; second++) {
        run.plan({ samples: samplesOf(40) })
        expect((run.listed(EAST) + run.listed(WEST)) * SLOTS * 2 / 3).toBeGreaterThanOrEqual(40)
      }
      expect(Math.abs(run.ordered(EAST) - run.ordered(WEST))).toBeLessThanOrEqual(1)
    })
  })
})

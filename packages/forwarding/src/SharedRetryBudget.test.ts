import { brand, exponential, millis, SeededRandom, seconds, VirtualClock } from '@papayahill/common'
import type { ServiceId } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { RETRY_SHARE } from './constants.js'
import { SharedRetryBudget } from './SharedRetryBudget.js'

const SERVICE = brand<ServiceId>('orders')
const LIMITS = { ratio: 0.2, window: seconds(10), slack: 52 }
const INSTANCES = 6

/** Takes all retries that one instance has left. */
const takeAll = (budget: SharedRetryBudget): number => {
  let taken = 0
  while (budget.tryTake(SERVICE, 1)) taken++
  return taken
}

describe('SharedRetryBudget', () => {
  it('never lets all instances together exceed the budget, even if one gets all requests', () => {
    const clock = new VirtualClock()
    const instances = Array.from({ length: INSTANCES }, () => new SharedRetryBudget(clock, () => LIMITS, () => INSTANCES))
    for (let request = 0; request < 100; request++) instances[0]!.countRequests(SERVICE)
    const taken = instances.map(takeAll).reduce((sum, count) => sum + count, 0)
    expect(taken).toBeGreaterThan(20)
    expect(taken).toBeLessThanOrEqual(100 * LIMITS.ratio + LIMITS.slack)
  })

  it('restores retries as the window slides', async () => {
    const clock = new VirtualClock()
    const budget = new SharedRetryBudget(clock, () => LIMITS, () => INSTANCES)
    const first = takeAll(budget)
    await clock.advance(millis(9000))
    expect(takeAll(budget)).toBe(0)
    await clock.advance(millis(1500))
    expect(takeAll(budget)).toBe(first)
  })

  it('does not keep a time for each request of a service whose calls never fail', async () => {
    const clock = new VirtualClock()
    const budget = new SharedRetryBudget(clock, () => LIMITS, () => INSTANCES)
    for (let second = 0; second < 60; second++) {
      for (let request = 0; request < 500; request++) budget.countRequests(SERVICE)
      await clock.advance(seconds(1))
    }
    expect(budget.size).toBeLessThan(250)
  })

  it('does not keep every service that configurations have ever named', async () => {
    const clock = new VirtualClock()
    const budget = new SharedRetryBudget(clock, () => LIMITS, () => INSTANCES)
    for (let index = 0; index < 500; index++) {
      budget.countRequests(brand<ServiceId>(`orders-${index}`))
      await clock.advance(seconds(1))
    }
    expect(budget.size).toBeLessThan(50)
  })

  it('never allows a retry that exact times would not allow, and hardly fewer in all', async () => {
    const clock = new VirtualClock()
    const random = new SeededRandom(11)
    const budget = new SharedRetryBudget(clock, () => LIMITS, () => INSTANCES)
    const requests: number[] = []
    const retries: number[] = []
    const exactRetries: number[] = []
    const inWindow = (times: readonly number[]): number => times.filter((at) => at > clock.now() - LIMITS.window).length
    const isAllowedAfter = (earlier: readonly number[]): boolean =>
      inWindow(earlier) + 1 <= RETRY_SHARE * (inWindow(requests) * LIMITS.ratio + LIMITS.slack / INSTANCES)
    for (let event = 0; event < 6000; event++) {
      await clock.advance(millis(exponential(random, 8)))
      budget.countRequests(SERVICE)
      requests.push(clock.now())
      if (random.next() < 0.7) continue
      if (isAllowedAfter(exactRetries)) exactRetries.push(clock.now())
      const isAllowed = isAllowedAfter(retries)
      if (!budget.tryTake(SERVICE, 1)) continue
      expect(isAllowed).toBe(true)
      retries.push(clock.now())
    }
    expect(retries.length).toBeGreaterThan(0.97 * exactRetries.length)
  })
})

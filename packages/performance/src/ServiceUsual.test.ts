import { describe, expect, it } from 'vitest'
import { ServiceUsual } from './ServiceUsual.js'
import type { Work } from './types.js'

const workOf = (key: string): Work => ({ kind: 'plain', key, amount: 1 })

describe('ServiceUsual', () => {
  it('does not keep the times of all routes of all configurations, but those in use', () => {
    const usual = new ServiceUsual()
    const lasting = workOf('lasting')
    usual.timeOf(lasting, 80)
    for (let at = 0; at < 5000; at++) {
      const work = workOf(`route-${at}`)
      usual.timeOf(work, 20)
      usual.learn(work, 0)
      if (at % 100 === 0) usual.learn(lasting, 0)
    }
    expect(usual.size).toBeLessThan(1000)
    expect(usual.usualTime(lasting)).toBeCloseTo(80)
  })
})

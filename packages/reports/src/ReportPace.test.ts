import { describe, expect, it } from 'vitest'
import { ReportPace } from './ReportPace.js'

const paceOf = (size: number): ReportPace => {
  const pace = new ReportPace()
  for (let at = 0; at < 100; at++) pace.note(size)
  return pace
}

describe('ReportPace', () => {
  it('keeps the bytes of reports within what an instance may send on average', () => {
    for (const size of [200, 300, 500, 700]) expect(size * 1000 / paceOf(size).period(6)).toBeLessThanOrEqual(400)
  })

  it('reports more often than once a second where reports are small, so that little is lost with an instance', () => {
    expect(paceOf(120).period(6)).toBeLessThan(600)
    expect(paceOf(120).period(60)).toBeLessThan(600)
  })

  it('reports once a second at 200 instances, and proportionally less often beyond', () => {
    expect(paceOf(100).period(200)).toBe(1000)
    expect(paceOf(100).period(420)).toBe(2100)
  })

  it('reports at least every 2.5 s, since windows wait for the reports', () => {
    expect(paceOf(10_000).period(6)).toBe(2500)
  })

  it('bounds the replies of a receiver at all sizes', () => {
    for (const instances of [6, 9, 60, 200, 420]) {
      for (const size of [50, 150, 400]) {
        const pace = paceOf(size)
        const repliesPerSecond = instances * 1000 / pace.period(instances) / pace.reportsPerReply(instances)
        expect(repliesPerSecond).toBeLessThanOrEqual(60)
      }
    }
  })
})

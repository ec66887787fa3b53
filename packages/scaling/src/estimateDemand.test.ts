import { millis } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { estimateDemand } from './estimateDemand.js'
import { addHold, EMPTY_HOLD_FIT, holdAt } from './holdFit.js'
import type { HoldFit } from './holdFit.js'
import { HOLD, samplesOf } from './testing/planning.js'

const fitOf = (points: ReadonlyArray<readonly [number, number]>): HoldFit =>
  points.reduce((fit, [utilisation, hold]) => addHold(fit, utilisation, millis(hold)), EMPTY_HOLD_FIT)

const repeated = <Item>(items: readonly Item[], times: number): readonly Item[] => Array.from({ length: times }, () => items).flat()

describe('holdAt', () => {
  it('is unknown before the first measurement', () => {
    expect(holdAt(EMPTY_HOLD_FIT, 0.5)).toBeUndefined()
  })

  it('follows calls that take longer at busy endpoints', () => {
    const fit = fitOf(repeated([[0.2, 220], [0.4, 240], [0.8, 280]] as const, 30))
    expect(holdAt(fit, 0.7)).toBeGreaterThan(255)
    expect(holdAt(fit, 0.7)).toBeLessThan(285)
  })

  it('does not extrapolate from measurements that are all at one utilisation', () => {
    expect(holdAt(fitOf(repeated([[0.3, 210], [0.3, 190]] as const, 20)), 0.9)).toBeCloseTo(200, -1)
  })

  it('stays bounded where a busy endpoint seems to be faster, or far slower', () => {
    expect(holdAt(fitOf(repeated([[0.1, 300], [0.9, 100]] as const, 20)), 0.7)).toBeCloseTo(200, -1)
    expect(holdAt(fitOf(repeated([[0.1, 100], [0.3, 5000]] as const, 20)), 0.9)).toBeLessThan(2 * 2600)
  })
})

describe('estimateDemand', () => {
  it('agrees with the calls that run while nothing waits', () => {
    expect(estimateDemand(samplesOf(40), EMPTY_HOLD_FIT, 60).calls).toBeCloseTo(40, 5)
  })

  it('counts what runs and waits before any call has ended', () => {
    const fresh = samplesOf(40, { holdTime: millis(0) }).map((sample) => ({ ...sample, waiting: 1 }))
    expect(estimateDemand(fresh, EMPTY_HOLD_FIT, 60).calls).toBe(44)
  })

  it('counts the requests that come, not the queue, while endpoints are full', () => {
    const fit = fitOf(repeated([[0.5, HOLD]] as const, 40))
    const full = samplesOf(40).map((sample) => ({ ...sample, waiting: 200, newestPerSecond: 2 * sample.begunPerSecond }))
    const { calls, isCrowded } = estimateDemand(full, fit, 40)
    expect(isCrowded).toBe(true)
    expect(calls).toBeCloseTo(80, 0)
  })

  it('is nothing without load', () => {
    expect(estimateDemand([], EMPTY_HOLD_FIT, 0)).toMatchObject({ calls: 0, isCrowded: false })
  })
})

import { describe, expect, it } from 'vitest'
import { MovingMeans } from './MovingMeans.js'
import { millis } from './units.js'

describe('MovingMeans', () => {
  it('moves towards new times by their weight', () => {
    const means = new MovingMeans({ weight: 0.5, initial: millis(250) })
    expect([means.mean('guide'), means.known('guide')]).toEqual([250, undefined])
    means.record('guide', millis(100))
    means.record('guide', millis(200))
    expect([means.mean('guide'), means.known('guide')]).toEqual([150, 150])
  })

  it('does not keep all routes of all configurations, but those in use', () => {
    const means = new MovingMeans<string>({ weight: 0.5, initial: millis(250) })
    for (let at = 0; at < 20_000; at++) {
      means.record(`route-${at}`, millis(10))
      if (at % 1000 === 0) means.record('lasting', millis(100))
    }
    expect(means.size).toBeLessThan(5000)
    expect(means.mean('lasting')).toBe(100)
  })
})

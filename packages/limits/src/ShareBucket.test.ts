import { millis } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { ShareBucket } from './ShareBucket.js'

const START = millis(5000)
const RATE = { interval: millis(1000), burst: 1.5 }

const started = (firstIn = 0): ShareBucket => {
  const bucket = new ShareBucket()
  bucket.restart(RATE, millis(firstIn), START)
  return bucket
}

/** Number of tokens that can be taken at once. */
const takeAll = (bucket: ShareBucket, at: number): number => {
  let taken = 0
  while (bucket.tryTake(millis(at))) taken++
  return taken
}

describe('ShareBucket', () => {
  it('starts without tokens and earns the first one after the given time', () => {
    const bucket = started(800)
    expect(bucket.availableIn(START)).toBe(800)
    expect(takeAll(bucket, START + 799)).toBe(0)
    expect(takeAll(bucket, START + 800)).toBe(1)
    expect(takeAll(bucket, START + 1299)).toBe(0)
  })

  it('keeps no more than its burst, however long it was not used', () => {
    expect(takeAll(started(), START + 3_600_000)).toBe(1)
  })

  it('makes up for a token that was taken late, up to its burst', () => {
    const bucket = started()
    for (const at of [0, 1400, 2000, 3000]) expect(bucket.tryTake(millis(START + at))).toBe(true)
    expect(bucket.tryTake(millis(START + 3400))).toBe(false)
  })

  it('applies a higher rate from then on, without a burst of what waited', () => {
    const bucket = started(4000)
    bucket.adjust({ interval: millis(200), burst: 1 }, millis(START + 1000))
    expect(bucket.availableIn(millis(START + 1000))).toBe(200)
    expect(takeAll(bucket, START + 1200)).toBe(1)
  })
})

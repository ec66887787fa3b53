import { millis } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { admit } from './admission.js'

const forecastOf = (stageWaits: number) => ({
  timeLeft: millis(6000),
  queueWait: millis(0),
  stageWaits: millis(stageWaits),
  stageTime: millis(750),
  timeUntilAvailable: millis(0),
  tokensPerSecond: Infinity,
  unsent: 0,
  answerTime: millis(250)
})

describe('admit', () => {
  it('admits a request that can be answered shortly before its deadline', () => {
    expect(admit(forecastOf(4900)).kind).toBe('admitted')
  })

  it('refuses a request that cannot, with a Retry-After before the deadline', () => {
    const admission = admit(forecastOf(5600))
    expect(admission.kind).toBe('refused')
    expect('retryAfter' in admission && admission.retryAfter).toBe(600)
    const far = admit(forecastOf(30_000))
    expect('retryAfter' in far && far.retryAfter).toBeLessThanOrEqual(2000)
  })

  it('refuses a request whose turn comes too late, though its stages would be run in time', () => {
    expect(admit({ ...forecastOf(0), queueWait: millis(4900) }).kind).toBe('admitted')
    expect(admit({ ...forecastOf(0), queueWait: millis(5100) }).kind).toBe('refused')
  })

  describe('where all endpoints of the last call have limits', () => {
    const limited = (unsent: number) => admit({ ...forecastOf(0), tokensPerSecond: 2, unsent })

    it('admits as many requests to the stages as there will be tokens for, and some more', () => {
      expect(limited(2).kind).toBe('admitted')
    })

    it('refuses the others before any work is done for them, and names the limit', () => {
      expect(limited(4)).toMatchObject({ kind: 'refused', cause: 'limit' })
    })

    it('admits one at a time even if a token is far away on average, since others may not need theirs', () => {
      expect(admit({ ...forecastOf(0), tokensPerSecond: 0.01, unsent: 0 }).kind).toBe('admitted')
      expect(admit({ ...forecastOf(0), tokensPerSecond: 0.01, unsent: 1 }).kind).toBe('refused')
    })
  })
})

import { millis } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { admit } from './admission.js'

const forecastOf = (stageWaits: number) => ({
  timeLeft: millis(6000),
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
})

import { brand } from '@papayahill/common'
import type { ClassId, ServiceId } from '@papayahill/common'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { RETRY_FIRST, RETRY_RATIO } from './constants.js'
import { RetryBudget } from './RetryBudget.js'

const CLASS = brand<ClassId>('lookup')
const SERVICE = brand<ServiceId>('stock')

describe('RetryBudget', () => {
  it('never allows more retries than its share of the successes, in any order of events', () => {
    fc.assert(fc.property(fc.array(fc.boolean(), { maxLength: 300 }), (events) => {
      const budget = new RetryBudget()
      let successes = 0
      let retries = 0
      for (const isSuccess of events) {
        if (isSuccess) {
          successes++
          budget.succeeded(CLASS, SERVICE)
        } else if (budget.take(CLASS, SERVICE)) retries++
        expect(retries).toBeLessThanOrEqual(RETRY_FIRST + successes * RETRY_RATIO + 1e-9)
      }
    }))
  })

  it('keeps classes apart', () => {
    const budget = new RetryBudget()
    expect(budget.take(CLASS, SERVICE)).toBe(true)
    expect(budget.take(CLASS, SERVICE)).toBe(false)
    expect(budget.take(brand<ClassId>('other'), SERVICE)).toBe(true)
  })
})

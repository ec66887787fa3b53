import { millis, seconds } from '@papayahill/common'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { MAX_BACKUP_DELAY, POLL_ALLOWANCE, RELAY_ALLOWANCE, WATCHER_COUNT } from './constants.js'
import { backupDelayOf, pollTimesOf, pollWaitOf } from './pollTimes.js'

const INSTANCES = 9

describe('pollTimes', () => {
  describe('pollTimesOf', () => {
    it.each([2000, 2500, 3000, 4000, 8000])('leaves a tenth of an apply time of %i ms, whichever backup polls', (applyTime) => {
      const { ageLimit, turn } = pollTimesOf(millis(applyTime))
      expect(ageLimit + MAX_BACKUP_DELAY + POLL_ALLOWANCE + RELAY_ALLOWANCE).toBeLessThanOrEqual(applyTime * 0.9)
      expect(turn).toBeLessThan(ageLimit)
    })
  })

  describe('backupDelayOf', () => {
    it('lets all of 420 instances poll in time, and few in the first steps', () => {
      const delays = Array.from({ length: 420 }, (_item, rank) => backupDelayOf({ rank, instances: 420 }))
      expect(Math.max(...delays)).toBeLessThanOrEqual(MAX_BACKUP_DELAY)
      expect(delays.filter((delay) => delay < 100).length).toBeLessThanOrEqual(WATCHER_COUNT + 7)
    })
  })

  describe('pollWaitOf', () => {
    it('ends the polls of all watchers in turn, whenever they begin', () => {
      const turn = seconds(1)
      fc.assert(fc.property(fc.integer({ min: 0, max: 1_000_000 }), (begunAt) => {
        const ends = [0, 1, 2].map((rank) => begunAt + pollWaitOf({ rank, instances: INSTANCES }, turn, millis(begunAt)))
        expect(ends.map((end) => end % 3000)).toEqual([0, 1000, 2000])
        expect(Math.min(...ends) - begunAt).toBeLessThanOrEqual(1125)
      }))
    })

    it('polls as often with fewer instances than watchers', () => {
      expect(pollWaitOf({ rank: 0, instances: 1 }, seconds(1), millis(5000))).toBe(1000)
    })
  })
})

import { brand, epochMillis, millis } from '@papayahill/common'
import type { EndpointId } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { judgeCrashes } from './judgeCrashes.js'
import type { CrashEvidence, PartHistory } from './judgeCrashes.js'
import type { PartId } from './types.js'

const part = (id: string): PartId => brand<PartId>(id)

/** Crashes 100 ms apart, each with the parts of the requests that were lost in it, written as `a+b`. */
const crashesOf = (...lost: ReadonlyArray<readonly string[]>): readonly CrashEvidence[] => lost.map((requests, at) => ({
  endpoint: brand<EndpointId>(`e${at}`),
  at: epochMillis(at * 100),
  learnedAt: millis(at * 100),
  requests: requests.map((request) => request.split('+').map(part))
}))

const historyOf = (begun: readonly string[], elsewhere: readonly string[] = []): PartHistory => ({
  hasBegun: (id) => begun.includes(id), isKnownElsewhere: (id) => elsewhere.includes(id)
})

const foundIn = (crashes: readonly CrashEvidence[], history = historyOf(['first'])): readonly string[] =>
  judgeCrashes(crashes, history).findings.map(({ parts }) => parts.join('+'))

describe('judgeCrashes', () => {
  describe('a part that was lost in each crash', () => {
    const requests = ['first+deadly', 'first+other']

    it('is blamed for the third crash, not for the second', () => {
      expect(foundIn(crashesOf(requests, ['first+deadly']))).toEqual([])
      expect(foundIn(crashesOf(requests, ['first+deadly'], ['first+deadly', 'first+another']))).toEqual(['deadly'])
    })

    it('is blamed in place of a part on which answers begin, which was lost as often', () => {
      expect(foundIn(crashesOf(['first+deadly'], ['first+deadly'], ['first+deadly'], ['first+deadly'], ['first+deadly']))).toEqual(['deadly'])
    })

    it('is blamed for one crash if another version of its service has it under quarantine', () => {
      expect(foundIn(crashesOf(requests), historyOf(['first'], ['deadly']))).toEqual(['deadly'])
    })

    it('is blamed among forty other requests at each endpoint', () => {
      const others = (crash: number): readonly string[] => Array.from({ length: 40 }, (_each, at) => `first+s${crash}.${at}`)
      expect(foundIn(crashesOf(...[1, 2, 3].map((crash) => [...others(crash), 'first+deadly'])))).toEqual(['deadly'])
    })
  })

  describe('crashes at the same moment', () => {
    it('count once, as when a failure domain is lost', () => {
      const crashes = crashesOf(['first+new'], ['first+new'], ['first+new']).map((crash) => ({ ...crash, learnedAt: millis(0) }))
      expect(foundIn(crashes)).toEqual([])
    })
  })

  describe('parts that always come together', () => {
    it('are blamed together, so that requests with one of them may go on', () => {
      expect(foundIn(crashesOf(['first+subject+deadly'], ['first+subject+deadly'], ['first+subject+deadly']))).toEqual(['subject+deadly'])
    })

    it('are told apart by a crash with one of them', () => {
      const together = ['first+subject+deadly']
      expect(foundIn(crashesOf(together, together, together, ['first+other+deadly']))).toEqual(['deadly'])
    })
  })

  describe('parts of different requests that were lost in the same crashes', () => {
    const both = ['first+deadly', 'first+bystander']

    it('are not blamed before one of them is lost alone', () => {
      expect(foundIn(crashesOf(both, both, both))).toEqual([])
      expect(foundIn(crashesOf(both, both, both, ['first+deadly']))).toEqual(['deadly'])
    })

    it('are both blamed for the fifth crash', () => {
      expect(foundIn(crashesOf(both, both, both, both, both))).toEqual(['deadly', 'bystander'])
    })
  })

  describe('two deadly parts', () => {
    it('are both blamed, each for its own crashes', () => {
      const turns = [['first+d1'], ['first+d2'], ['first+d1', 'first+x'], ['first+d2'], ['first+d1'], ['first+d2']]
      expect(foundIn(crashesOf(...turns, ...turns))).toEqual(['d1', 'd2'])
    })
  })

  describe('beside crashes that it does not explain', () => {
    it('takes a part five crashes to be blamed', () => {
      const other = (at: number): readonly string[] => [`first+o${at}`]
      const storm = [['first+part'], other(1), ['first+part'], other(2), ['first+part'], other(3)]
      expect(foundIn(crashesOf(...storm))).toEqual([])
      expect(foundIn(crashesOf(...storm, ['first+part'], ['first+part']))).toEqual(['part'])
    })
  })

  describe('a part on which an answer has begun', () => {
    it('is never blamed, however many crashes it was lost in', () => {
      expect(foundIn(crashesOf(['first'], ['first'], ['first'], ['first'], ['first'], ['first']))).toEqual([])
    })
  })

  it('suspects all parts of unexplained crashes on which no answer has begun', () => {
    const { suspects } = judgeCrashes(crashesOf(['first+a', 'first+b'], ['first+a']), historyOf(['first']))
    expect([...suspects]).toEqual([['a', 2], ['b', 1]])
  })
})

import { millis, seconds } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { FORWARDING_EVENTS } from './events.js'
import { SilentFleet } from './testing/SilentFleet.js'
import type { SilentCaller, SilentFleetOptions } from './testing/SilentFleet.js'

/** Time by which a request that is in no call has its final answer after its deadline. */
const MAX_LATENESS = millis(100)
const ALL_ENDED = seconds(120)
const OPTIONS: SilentFleetOptions = { endpoints: 1, silences: [], kind: 'safe', hasStages: false, retries: 10, connections: 100 }

const latenessOf = ({ endedAt }: SilentCaller): number => endedAt === undefined ? Infinity : endedAt - SilentFleet.TIMEOUT

const phasesIn = (fleet: SilentFleet): readonly unknown[] =>
  fleet.log.records.filter(({ kind }) => kind === FORWARDING_EVENTS.requestExpired).map(({ fields }) => fields.phase)

describe('the deadline of a request', () => {
  // Requests whose stage call was slow had no answer until their callers left: a local order waits for its call alone.
  describe('that passes while an endpoint is at work on its stages', () => {
    const sendStaged = async (kind: 'streaming' | 'safe') => {
      const fleet = new SilentFleet({ ...OPTIONS, kind, hasStages: true, stageTime: seconds(60) })
      const callers = ['a1', 'a2'].map((attempt) => fleet.send(attempt))
      await fleet.clock.advance(ALL_ENDED)
      return { fleet, callers }
    }

    it.each(['streaming', 'safe'] as const)('ends it with a refusal that is true: %s', async (kind) => {
      const { fleet, callers } = await sendStaged(kind)
      expect(callers.map(({ answers, failure }) => [answers, failure?.kind, failure?.run])).toEqual(
        callers.map(() => [1, 'over-capacity', 'not-run']))
      expect(Math.max(...callers.map(latenessOf))).toBeLessThanOrEqual(MAX_LATENESS)
      expect(fleet.calls).toEqual([])
      expect(phasesIn(fleet)).toEqual(['stages', 'stages'])
    })

    it('frees the results that come later', async () => {
      const { fleet } = await sendStaged('safe')
      expect(fleet.madeHandles.length).toBe(4)
      expect([...fleet.freedHandles].sort()).toEqual([...fleet.madeHandles].sort())
      expect(fleet.forwarder.running).toBe(0)
    })
  })
})

import { millis, seconds } from '@papayahill/common'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { FINAL_ANSWER_GRACE } from './constants.js'
import { FORWARDING_EVENTS } from './events.js'
import { SilentFleet } from './testing/SilentFleet.js'
import type { Silence, SilentCaller, SilentFleetOptions } from './testing/SilentFleet.js'

/** Time by which a request that is in no call has its final answer after its deadline. */
const MAX_LATENESS = millis(100)
const ALL_ENDED = seconds(120)
const SILENT: Silence = { endpoint: 0, from: 0, span: 100_000 }
const OPTIONS: SilentFleetOptions = { endpoints: 1, silences: [], kind: 'safe', hasStages: false, retries: 10, connections: 100 }

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
      expect(Math.max(...callers.map(({ lateness }) => lateness))).toBeLessThanOrEqual(MAX_LATENESS)
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

  // Requests that waited for a place got no answer until their callers left: the queue had no deadline.
  describe('that passes while it waits for its turn at its service', () => {
    const TURNS = 8
    const SHORT_TIMEOUT = seconds(2)
    const sendQueued = async (count: number) => {
      const fleet = new SilentFleet({ ...OPTIONS, silences: [SILENT], slots: 1 })
      const callers = Array.from({ length: count }, (_none, at) => fleet.send(`a${at}`, at < TURNS ? SilentFleet.TIMEOUT : SHORT_TIMEOUT))
      await fleet.clock.advance(ALL_ENDED)
      return { fleet, callers }
    }

    it('ends it with a refusal that is true, and frees its place in the queue', async () => {
      const { fleet, callers } = await sendQueued(TURNS + 5)
      const queued = callers.slice(TURNS)
      expect(queued.map(({ answers, failure }) => [answers, failure?.kind, failure?.run])).toEqual(queued.map(() => [1, 'over-capacity', 'not-run']))
      expect(Math.max(...callers.map(({ lateness }) => lateness))).toBeLessThanOrEqual(MAX_LATENESS)
      expect([...new Set(fleet.calls.map(({ attempt }) => attempt))]).toEqual(callers.slice(0, TURNS).map((_caller, at) => `a${at}`))
      expect([fleet.forwarder.waiting, fleet.forwarder.running]).toEqual([0, 0])
    })

    it('is not awaited where those ahead take too long: what comes then is refused at once', async () => {
      const { fleet } = await sendQueued(TURNS + 5)
      const begunAt = fleet.clock.now()
      const callers = Array.from({ length: 3 * TURNS }, (_none, at) => fleet.send(`b${at}`))
      await fleet.clock.advance(millis(50))
      const hopeless = callers.slice(2 * TURNS)
      expect(hopeless.map(({ failure, endedAt }) => [failure?.run, endedAt! - begunAt < 50])).toEqual(hopeless.map(() => ['not-run', true]))
    })

    it('is not awaited where its own answer would take too long: once endpoints are fast again, all are served', async () => {
      const silences = Array.from({ length: 9 }, (_none, at): Silence => ({ endpoint: 0, from: at * 4000, span: 3800 }))
      const fleet = new SilentFleet({ ...OPTIONS, silences, slots: 1, retries: 0 })
      const send = async (count: number): Promise<readonly SilentCaller[]> => {
        const callers: SilentCaller[] = []
        for (let at = 0; at < count; at++) {
          callers.push(fleet.send(`b${fleet.clock.now()}`, millis(4500)))
          await fleet.clock.advance(millis(100))
        }
        return callers
      }
      const slow = await send(300)
      const late = slow.filter(({ failure }) => failure?.kind === 'deadline-passed')
      expect(late.length).toBeLessThan(slow.length / 10)
      await fleet.clock.advance(seconds(20))
      const fast = await send(20)
      await fleet.clock.advance(seconds(5))
      expect(fast.map(({ outcome }) => outcome)).toEqual(fast.map(() => 'whole'))
    })

    it('is not reached where its caller leaves: it gives its place back at once', async () => {
      const fleet = new SilentFleet({ ...OPTIONS, silences: [SILENT], slots: 1 })
      const callers = Array.from({ length: TURNS + 2 }, (_none, at) => fleet.send(`a${at}`))
      await fleet.clock.advance(seconds(1))
      for (const { controller } of callers.slice(TURNS)) controller.abort()
      await fleet.clock.advance(millis(1))
      expect([fleet.forwarder.waiting, fleet.forwarder.running]).toEqual([0, TURNS])
    })
  })

  // Guards against a wait that is under no deadline, and against refusals of requests that run later.
  it('ends every request once, in time and truly, whatever is slow or silent', async () => {
    const silence = fc.record({
      endpoint: fc.integer({ min: 0, max: 2 }), from: fc.integer({ min: 0, max: 20_000 }), span: fc.integer({ min: 0, max: 60_000 })
    })
    const options = fc.record({
      endpoints: fc.integer({ min: 1, max: 3 }),
      silences: fc.array(silence, { maxLength: 4 }),
      kind: fc.constantFrom('streaming' as const, 'safe' as const),
      hasStages: fc.boolean(),
      stageTime: fc.integer({ min: 50, max: 30_000 }).map(millis),
      retries: fc.integer({ min: 0, max: 10 }),
      connections: fc.integer({ min: 1, max: 20 }),
      slots: fc.integer({ min: 1, max: 20 }),
      timeouts: fc.array(fc.integer({ min: 100, max: 20_000 }).map(millis), { minLength: 30, maxLength: 30 }),
      isLate: fc.boolean()
    })
    await fc.assert(fc.asyncProperty(options, async (given) => {
      const fleet = new SilentFleet(given)
      const callers = given.timeouts.map((timeout, at) => fleet.send(`a${at}`, timeout))
      await fleet.clock.advance(ALL_ENDED)
      for (const [at, caller] of callers.entries()) {
        expect([caller.answers, fleet.forwarder.running, fleet.forwarder.waiting]).toEqual([1, 0, 0])
        expect(caller.lateness).toBeLessThanOrEqual(FINAL_ANSWER_GRACE + MAX_LATENESS)
        if (caller.failure?.run === 'not-run') expect(fleet.calls.filter(({ attempt }) => attempt === `a${at}`)).toEqual([])
      }
      expect([...fleet.freedHandles].sort()).toEqual([...fleet.madeHandles].sort())
    }), { numRuns: 60, seed: 83 })
  })
})

import { millis, seconds } from '@papayahill/common'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { FORWARDING_EVENTS } from './events.js'
import { SilentFleet } from './testing/SilentFleet.js'
import type { SeenCall, Silence, SilentCaller } from './testing/SilentFleet.js'

/** Time within which another call of the request starts once a silent one was ended. */
const MAX_HANDOVER = millis(50)
const EVENTS = 24
/** Streams from which the usual time of an answer is learnt. */
const WARM_UP = 20
/** Silences that end before callers give up. */
const LAST_SILENCE = 6000
/** Time until the end of a planned stop, and after which all requests have ended. */
const STOP_SPAN = millis(7360)
const ALL_ENDED = seconds(30)

const silenceOf = (endpoint: number, from: number, span: number): Silence => ({ endpoint, from, span })

/** Calls that were ended before a planned stop did so, while no other call of their request went on, was whole, or came right after. */
const brokenOff = (calls: readonly SeenCall[], before = Infinity): readonly SeenCall[] => calls.filter((call) => {
  const { attempt, endedAt, isBrokenOff } = call
  if (!isBrokenOff || endedAt === undefined || endedAt >= before) return false
  return !calls.some((other) => {
    if (other === call || other.attempt !== attempt) return false
    const isAlive = other.endedAt === undefined || other.endedAt > endedAt || !other.isBrokenOff
    return isAlive && other.startedAt - endedAt <= MAX_HANDOVER
  })
})

const isWhole = ({ outcome, events }: SilentCaller, kind: 'streaming' | 'safe'): boolean =>
  outcome === 'whole' && (kind === 'safe' || events.join() === Array.from({ length: EVENTS }, (_none, at) => at + 1).join())

/** What the log says was missing to replace silent calls. */
const missingIn = (fleet: SilentFleet): readonly unknown[] =>
  fleet.log.records.filter(({ kind }) => kind === FORWARDING_EVENTS.callSilent).map(({ fields }) => fields.missing)

/** Begins a planned stop now, which ends all requests at its end. */
const stop = (fleet: SilentFleet): number => {
  const endsAt = millis(fleet.clock.now() + STOP_SPAN)
  fleet.forwarder.beginStop(endsAt)
  fleet.clock.after(STOP_SPAN, () => fleet.forwarder.endStop())
  return endsAt
}

describe('a call whose endpoint sends nothing', () => {
  describe('with an endpoint, time and a retry left', () => {
    it.each(['streaming', 'safe'] as const)('is replaced by one at another endpoint: %s', async (kind) => {
      const fleet = new SilentFleet({
        endpoints: 2, silences: [silenceOf(0, 0, 15_000), silenceOf(1, 0, 0)], kind, hasStages: true, retries: 10, connections: 10
      })
      const callers = ['a1', 'a2'].map((attempt) => fleet.send(attempt))
      await fleet.clock.advance(seconds(8))
      expect(callers.map((caller) => isWhole(caller, kind))).toEqual([true, true])
      expect(fleet.calls.filter(({ isBrokenOff }) => isBrokenOff).map(({ endpoint }) => endpoint)).not.toContain('e1')
    })
  })

  describe('goes on and is answered whole, and the log says what is missing', () => {
    it.each([
      ['budget', { retries: 0 }],
      ['connection', { connections: 1 }],
      ['inputs', { hasStages: true, failStagesAgain: true }]
    ] as const)('%s', async (missing, more) => {
      const silences = [0, 1].map((endpoint) => silenceOf(endpoint, 1000, 4000))
      const fleet = new SilentFleet({ endpoints: 2, silences, kind: 'streaming', hasStages: false, retries: 10, connections: 10, ...more })
      const callers = ['a1', 'a2'].map((attempt) => fleet.send(attempt))
      await fleet.clock.advance(seconds(12))
      expect(callers.map((caller) => isWhole(caller, 'streaming'))).toEqual([true, true])
      expect(missingIn(fleet)).toContain(missing)
      expect(brokenOff(fleet.calls)).toEqual([])
    })

    it('a place at another endpoint, which rejects what it has none for', async () => {
      const fleet = new SilentFleet({
        endpoints: 2, silences: [silenceOf(0, 1000, 4000)], kind: 'streaming', hasStages: false, retries: 10, connections: 10, full: [1], places: 1
      })
      const callers = ['a1', 'a2', 'a3'].map((attempt) => fleet.send(attempt))
      await fleet.clock.advance(seconds(12))
      expect(callers.map((caller) => isWhole(caller, 'streaming'))).toEqual([true, true, true])
      expect(brokenOff(fleet.calls)).toEqual([])
      expect(missingIn(fleet)).toContain('endpoint')
    })

    it('a connection to another endpoint that opens', async () => {
      const fleet = new SilentFleet({
        endpoints: 2, silences: [silenceOf(0, 1000, 4000)], kind: 'streaming', hasStages: false, retries: 9, connections: 9, unreachable: [1], places: 1
      })
      const callers = ['a1', 'a2'].map((attempt) => fleet.send(attempt))
      await fleet.clock.advance(seconds(12))
      expect(callers.map((caller) => isWhole(caller, 'streaming'))).toEqual([true, true])
      expect(brokenOff(fleet.calls)).toEqual([])
    })

    it('until a third endpoint takes the request, if no connection to the second opens', async () => {
      const fleet = new SilentFleet({
        endpoints: 3, silences: [silenceOf(0, 0, 15_000)], kind: 'streaming', hasStages: false, retries: 9, connections: 9, unreachable: [1], places: 1
      })
      const callers = ['a1', 'a2', 'a3'].map((attempt) => fleet.send(attempt))
      await fleet.clock.advance(seconds(9))
      expect(callers.map((caller) => isWhole(caller, 'streaming'))).toEqual([true, true, true])
    })

    it('time until the end of a planned stop', async () => {
      const fleet = new SilentFleet({
        endpoints: 2, silences: [0, 1].map((endpoint) => silenceOf(endpoint, 9000, 3500)), kind: 'streaming', hasStages: false, retries: 10, connections: 20
      })
      for (let at = 0; at < WARM_UP; at++) fleet.send(`w${at}`)
      await fleet.clock.advance(seconds(7))
      const callers = ['a1', 'a2'].map((attempt) => fleet.send(attempt))
      await fleet.clock.advance(millis(100))
      stop(fleet)
      await fleet.clock.advance(seconds(8))
      expect(callers.map((caller) => isWhole(caller, 'streaming'))).toEqual([true, true])
      expect(missingIn(fleet)).toContain('stop')
      expect(brokenOff(fleet.calls)).toEqual([])
    })
  })

  // Guards against a request that waits for a connection until its deadline, though it could go elsewhere at once.
  it('is given up without a retry if its connection does not open, since nothing was sent', async () => {
    const fleet = new SilentFleet({
      endpoints: 2, silences: [], kind: 'streaming', hasStages: false, retries: 0, connections: 9, unreachable: [0]
    })
    const callers = ['a1', 'a2', 'a3'].map((attempt) => fleet.send(attempt))
    await fleet.clock.advance(seconds(6))
    expect(callers.filter((caller) => !isWhole(caller, 'streaming'))).toEqual([])
  })

  // Guards against two endpoints at work on one request for long, since a late process ends the silent call late.
  it.each([[false, 150], [true, 0]])('is open beside its successor for a moment only, in a late process (%s) not at all', async (isLate, beside) => {
    const fleet = new SilentFleet({
      endpoints: 2, silences: [silenceOf(0, 0, 9000), silenceOf(1, 0, 3000)], kind: 'streaming', hasStages: false, retries: 9, connections: 9, isLate
    })
    fleet.send('a1')
    fleet.send('a2')
    await fleet.clock.advance(seconds(8))
    const [silent, successor] = fleet.calls.filter(({ attempt }) => fleet.calls.find((call) => call.endpoint === 'e0')?.attempt === attempt)
    expect(silent!.endedAt! - successor!.startedAt).toBe(beside)
  })

  // Guards against a silence that is none: a late process had not read yet what had arrived.
  it('is not taken for silent before what has arrived is read', async () => {
    const fleet = new SilentFleet({
      endpoints: 2, silences: [0, 1].map((at) => silenceOf(at, 1000, 1430)), kind: 'streaming', hasStages: false, retries: 10, connections: 10, readDelay: millis(30)
    })
    const caller = fleet.send('a1')
    await fleet.clock.advance(seconds(8))
    expect(isWhole(caller, 'streaming')).toBe(true)
    expect(fleet.calls).toHaveLength(1)
  })

  it('is never ended by that unless another call of its request follows at once, whatever is missing', async () => {
    const silence = fc.record({ endpoint: fc.nat(2), from: fc.nat(4000), span: fc.integer({ min: 500, max: 5000 }) })
      .map(({ from, span, ...rest }) => ({ ...rest, from, span: Math.min(span, LAST_SILENCE - from) }))
    const setting = fc.record({
      endpoints: fc.integer({ min: 1, max: 3 }),
      silences: fc.array(silence, { minLength: 1, maxLength: 5 }),
      kind: fc.constantFrom('streaming' as const, 'safe' as const),
      hasStages: fc.boolean(),
      retries: fc.nat(6),
      connections: fc.integer({ min: 2, max: 12 }),
      failStagesAgain: fc.boolean(),
      full: fc.subarray([0, 1, 2]),
      unreachable: fc.subarray([0, 1, 2]),
      places: fc.nat(8)
    })
    await fc.assert(fc.asyncProperty(setting, fc.nat(6), fc.option(fc.nat(5000)), async (options, extra, stopAt) => {
      const fleet = new SilentFleet(options)
      const count = Math.min(1 + extra, options.connections * options.endpoints)
      const callers = Array.from({ length: count }, (_none, at) => fleet.send(`a${at}`))
      let endsAt = Infinity
      if (stopAt !== null) fleet.clock.after(millis(stopAt), () => { endsAt = stop(fleet) })
      await fleet.clock.advance(ALL_ENDED)
      expect(brokenOff(fleet.calls, endsAt)).toEqual([])
      if (stopAt !== null || options.full.length + options.unreachable.length > 0) return
      expect(callers.filter((caller) => !isWhole(caller, options.kind))).toEqual([])
    }), { numRuns: 300 })
  })
})

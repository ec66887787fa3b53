import { millis, SILENT_LOG, VirtualClock } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import { UNLIMITED } from '@papayahill/limits'
import { EndpointPerformance } from '@papayahill/performance'
import { describe, expect, it } from 'vitest'
import { EndpointCalls } from './EndpointCalls.js'
import type { WaitingPiece } from './planBatches.js'
import { stageEndpoint, stagePiece, TEST_PROFILE } from './testing/stageEndpoint.js'
import type { BatchAnswer, BatchCaller, Piece } from './types.js'

/** A stage endpoint whose calls take a multiple of the profile's time. */
class SlowCaller implements BatchCaller {
  slowness = 1
  next: BatchAnswer | undefined
  readonly #clock: VirtualClock

  constructor (clock: VirtualClock) {
    this.#clock = clock
  }

  async call (_endpoint: Endpoint, pieces: readonly Piece[]): Promise<BatchAnswer> {
    await this.#clock.sleep(millis((TEST_PROFILE.callTime + pieces.length * TEST_PROFILE.pieceTime) * this.slowness))
    const { next } = this
    this.next = undefined
    return next ?? { kind: 'answered', outcomes: pieces.map(({ request }) => ({ handle: request })) }
  }

  free (): Promise<void> {
    return Promise.resolve()
  }
}

const setUp = (slowdown: number | undefined, isLearning = true, slots = 1) => {
  const clock = new VirtualClock()
  const caller = new SlowCaller(clock)
  const endpoint = stageEndpoint('e1')
  const profile = { ...TEST_PROFILE, slots }
  const performance = isLearning ? new EndpointPerformance({ clock, log: SILENT_LOG }) : undefined
  const calls = new EndpointCalls({
    clock, log: SILENT_LOG, caller, endpoint, limits: UNLIMITED, profile: () => profile, performance, onMemoryFreed: () => {}
  })
  const report = (value = slowdown): void => {
    endpoint.load = { running: 1, waiting: 0, slots, own: 0, at: clock.now(), ...(value === undefined ? {} : { slowdown: value }) }
  }
  report()
  const waiting = (request: string): WaitingPiece =>
    ({ piece: stagePiece(request, { resultBytes: 0 as never }), places: [], settle: () => {}, onInputsRead: () => {} })
  const run = async (count: number): Promise<void> => {
    for (let at = 0; at < count; at++) {
      const sent = calls.send([waiting(`r${at}`)], 0)
      await clock.advance(millis(210 * caller.slowness))
      report()
      await sent
    }
  }
  const callTime = (): Millis => calls.capacity()!.callTime
  return { clock, caller, calls, run, callTime, report }
}

describe('EndpointCalls at an endpoint that reports its slowdown', () => {
  it('plans with the speed that it has learnt, so that a slow endpoint gets fewer pieces', async () => {
    const { caller, run, callTime } = setUp(1)
    caller.slowness = 1.7
    await run(15)
    expect(callTime() / TEST_PROFILE.callTime).toBeGreaterThan(1.55)
    expect(callTime() / TEST_PROFILE.callTime).toBeLessThan(1.85)
  })

  it('does not forget the speed between calls, as the estimate from the last calls alone does', async () => {
    const { clock, caller, run, callTime } = setUp(1)
    caller.slowness = 1.7
    await run(15)
    await clock.advance(millis(3000))
    expect(callTime() / TEST_PROFILE.callTime).toBeGreaterThan(1.5)
  })

  it('plans at once with a slowdown that it reports', async () => {
    const { run, callTime, report } = setUp(1)
    await run(10)
    report(2.5)
    expect(callTime() / TEST_PROFILE.callTime).toBeGreaterThan(2)
  })

  it('still takes longer calls for granted after a lost one', async () => {
    const { caller, run, callTime } = setUp(1)
    await run(10)
    caller.next = { kind: 'lost', detail: 'reset', isConnectionLost: true }
    await run(1)
    expect(callTime() / TEST_PROFILE.callTime).toBeGreaterThan(1.8)
  })
})

describe('EndpointCalls at an endpoint that reports none', () => {
  it('plans exactly as without anything learnt, also after slow and lost calls', async () => {
    const [learning, plain] = [setUp(undefined), setUp(undefined, false)]
    for (const { caller, run, clock } of [learning, plain]) {
      caller.slowness = 2
      await run(5)
      caller.next = { kind: 'lost', detail: 'reset', isConnectionLost: true }
      await run(2)
      await clock.advance(millis(700))
    }
    expect(learning.calls.capacity()).toEqual(plain.calls.capacity())
    expect(learning.callTime()).not.toBe(TEST_PROFILE.callTime)
  })
})

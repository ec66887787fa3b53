import { brand, millis, VirtualClock } from '@papayahill/common'
import type { ServiceId } from '@papayahill/common'
import type { ServingRoute } from '@papayahill/directory'
import { NO_JUDGE } from '@papayahill/reach'
import type { LossJudge } from '@papayahill/reach'
import { describe, expect, it } from 'vitest'
import { CallMonitor } from './CallMonitor.js'
import { endpointOfVersion } from './testing/endpointOfVersion.js'
import type { CallEnd } from './types.js'

const SERVICE = brand<ServiceId>('pool')
const ROUTE = { name: 'draft' } as unknown as ServingRoute
const USUAL_TIME = millis(200)
const SLOW_TIME = millis(900)
const STREAMED: CallEnd = { kind: 'streamed' }
const LOST: CallEnd = { kind: 'lost', detail: 'reset', isConnectionLost: false }

/** A monitor that has learned the usual time from one call to the old version. */
const setUp = async (losses = NO_JUDGE) => {
  const clock = new VirtualClock()
  const verdicts: string[] = []
  const calls = new CallMonitor({
    losses,
    clock,
    isOnTrial: ({ record }) => record.version === 'v2',
    onVerdict: ({ record }, _route, verdict) => verdicts.push(`${record.version} ${verdict}`)
  })
  const old = calls.track(endpointOfVersion(SERVICE, 'v1'), ROUTE)
  await clock.advance(USUAL_TIME)
  old.answerBegan()
  old.callEnded(STREAMED, false)
  verdicts.length = 0
  return { clock, calls, verdicts, newEndpoint: endpointOfVersion(SERVICE, 'v2') }
}

describe('CallMonitor', () => {
  describe('an answer that takes far longer than usual', () => {
    it('counts as bad once, while it is still pending', async () => {
      const { clock, calls, verdicts, newEndpoint } = await setUp()
      const call = calls.track(newEndpoint, ROUTE)
      await clock.advance(SLOW_TIME)
      calls.tick()
      expect(verdicts).toEqual(['v2 bad'])
      call.answerBegan()
      call.callEnded(STREAMED, false)
      expect(verdicts).toEqual(['v2 bad'])
    })

    it('counts as bad even if its caller disconnected before it arrived', async () => {
      const { clock, calls, verdicts, newEndpoint } = await setUp()
      const call = calls.track(newEndpoint, ROUTE)
      await clock.advance(SLOW_TIME)
      call.callEnded(LOST, true)
      expect(verdicts).toEqual(['v2 bad'])
    })

    it('gives no verdict if the endpoint is cold', async () => {
      const { clock, calls, verdicts, newEndpoint } = await setUp()
      newEndpoint.coldUntil = millis(clock.now() + SLOW_TIME * 2)
      const call = calls.track(newEndpoint, ROUTE)
      await clock.advance(SLOW_TIME)
      call.answerBegan()
      call.callEnded(STREAMED, false)
      expect(verdicts).toEqual([])
    })
  })

  it('gives no verdict on a lost call whose caller disconnected within the usual time', async () => {
    const { clock, calls, verdicts, newEndpoint } = await setUp()
    const call = calls.track(newEndpoint, ROUTE)
    await clock.advance(USUAL_TIME)
    call.callEnded(LOST, true)
    expect(verdicts).toEqual([])
  })

  describe('calls that were lost or late while the instance was cut off', () => {
    const CUT_OFF: LossJudge = { judgeLoss: () => {}, judgeWait: () => {} }

    it('give no verdict on their endpoint\'s version', async () => {
      const { clock, calls, verdicts, newEndpoint } = await setUp(CUT_OFF)
      calls.track(newEndpoint, ROUTE).callEnded(LOST, false)
      calls.track(newEndpoint, ROUTE)
      await clock.advance(SLOW_TIME)
      calls.tick()
      expect(verdicts).toEqual([])
    })

    it('do not keep failures that endpoints answered from counting', async () => {
      const { calls, verdicts, newEndpoint } = await setUp(CUT_OFF)
      calls.track(newEndpoint, ROUTE).callEnded({ kind: 'answered', status: 500, headers: [], body: Buffer.alloc(0) }, false)
      expect(verdicts).toEqual(['v2 bad'])
    })
  })

  it('judges a stream by its first byte, however long the whole stream takes', async () => {
    const { clock, calls, verdicts, newEndpoint } = await setUp()
    const call = calls.track(newEndpoint, ROUTE)
    await clock.advance(USUAL_TIME)
    call.answerBegan()
    await clock.advance(SLOW_TIME)
    calls.tick()
    call.callEnded(STREAMED, false)
    expect(verdicts).toEqual(['v2 good'])
  })
})

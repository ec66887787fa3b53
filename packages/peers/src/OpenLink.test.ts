import { brand, millis, VirtualClock } from '@papayahill/common'
import type { DomainId, Incarnation, InstanceId, Millis } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import type { Frame } from './frames.js'
import { OpenLink } from './OpenLink.js'
import { ReadWatch } from './ReadWatch.js'
import { TrafficMeter } from './TrafficMeter.js'

const READ_PERIOD = millis(100)

/** A link of a process whose event loop can stand still: meanwhile nothing ticks and nothing is read. */
const openLink = () => {
  const clock = new VirtualClock()
  const reads = new ReadWatch(clock)
  let receive: (frame: Frame, size: number) => void = () => {}
  const link = new OpenLink({
    clock,
    reads,
    meter: new TrafficMeter(),
    isTemporary: false,
    link: {
      peer: {
        id: brand<InstanceId>('b'),
        incarnation: brand<Incarnation>('b@1'),
        domain: brand<DomainId>('hall'),
        address: { ip: '127.0.0.1', port: 1 }
      },
      isDialled: true,
      send: () => 1,
      onFrame: (listener) => { receive = listener },
      onClose: () => {},
      close: () => {},
      terminate: () => {}
    }
  })
  link.onFrame(() => {})
  const runFor = async (span: number): Promise<void> => {
    for (let passed = 0; passed < span; passed += READ_PERIOD) {
      await clock.advance(READ_PERIOD)
      reads.tick()
    }
  }
  const standStill = async (span: Millis): Promise<void> => {
    await clock.advance(span)
    reads.tick()
  }
  return { link, runFor, standStill, receive: () => receive({ kind: 'heartbeat' }, 10) }
}

describe('OpenLink', () => {
  describe('silence of the peer', () => {
    it('is the time since the last frame, but for the last two ticks', async () => {
      const { link, runFor } = openLink()
      await runFor(2000)
      expect(link.silence).toBe(1900)
    })

    // Guards against a process that takes all its peers for dead when it goes on after a pause or a long task.
    it('does not count time in which this process stood still, until it has read what had arrived', async () => {
      const { link, runFor, standStill, receive } = openLink()
      await runFor(300)
      receive()
      await standStill(millis(5000))
      expect(link.silence).toBe(0)
      receive()
      await runFor(300)
      expect(link.silence).toBeLessThan(400)
    })

    it('counts that time once nothing of it was there to read', async () => {
      const { link, runFor, standStill } = openLink()
      await standStill(millis(5000))
      await runFor(100)
      expect(link.silence).toBeGreaterThanOrEqual(5000)
    })
  })
})

import { brand, millis, seconds, SeededRandom, VirtualClock } from '@papayahill/common'
import type { InstanceId } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import { describe, expect, it } from 'vitest'
import { MAX_LEASE, MAX_REPORT_AGE, MIN_REJECTION_PAUSE } from './constants.js'
import { EndpointRoom } from './EndpointRoom.js'
import type { EndpointRoomOptions } from './EndpointRoom.js'
import { limitedEndpoint } from './testing/limitedEndpoint.js'

const TOOK = millis(100)

const brittleEndpoint = (perSecond: number | undefined = 2): Endpoint => {
  const endpoint = limitedEndpoint('e1')
  endpoint.rejectionLimit = { perSecond, version: 1, source: 'answer', learnedAt: millis(0), confirmedAt: millis(0) }
  return endpoint
}

interface TestedRoom {
  readonly clock: VirtualClock
  readonly endpoint: Endpoint
  readonly room: EndpointRoom
}

const newRoom = (
  units: number, sharers = 3, endpoint = brittleEndpoint(), more: Partial<EndpointRoomOptions> = {}
): TestedRoom => {
  const clock = new VirtualClock()
  const room = new EndpointRoom({
    clock,
    random: new SeededRandom(1),
    endpoint,
    units: () => units,
    sharers: () => sharers,
    lenders: () => new Map(),
    ask: () => Promise.resolve(undefined),
    giveBack: () => {},
    wakeOne: () => false,
    ...more
  })
  return { clock, endpoint, room }
}

/** Sends calls until no more fit; returns their number. */
const fill = (room: EndpointRoom): number => {
  let sent = 0
  while (sent < 100 && room.trySend()) sent++
  return sent
}

describe('the room of an endpoint', () => {
  it('is not bounded while it is not brittle, and counts the calls that began before', () => {
    const { endpoint, room } = newRoom(4)
    endpoint.rejectionLimit = undefined
    expect(fill(room)).toBe(100)
    expect(room.availableIn()).toBe(0)
    endpoint.rejectionLimit = brittleEndpoint().rejectionLimit
    expect(room.canSend()).toBe(false)
  })

  it('has the places of this instance while it is brittle', () => {
    const { room } = newRoom(4)
    expect(fill(room)).toBe(4)
    room.callEnded('answered', TOOK)
    expect(fill(room)).toBe(1)
  })

  it('counts calls that are chosen and not written yet', () => {
    const { endpoint, room } = newRoom(4)
    endpoint.running = 3
    expect(room.canChoose()).toBe(true)
    endpoint.running = 4
    expect(room.canChoose()).toBe(false)
    expect(room.canSend()).toBe(true)
  })

  describe('after a rejection', () => {
    it('has no more places than calls were let in, from the first one', () => {
      const { room } = newRoom(8)
      expect(fill(room)).toBe(8)
      room.callEnded('rejected', TOOK)
      room.callEnded('answered', TOOK)
      expect(fill(room)).toBe(1)
    })

    it('grows by one at a time, after answers only', async () => {
      const { clock, room } = newRoom(8)
      fill(room)
      room.callEnded('rejected', TOOK)
      await clock.advance(millis(MIN_REJECTION_PAUSE * 2))
      expect(fill(room)).toBe(0)
      for (let call = 0; call < 3; call++) room.callEnded('answered', TOOK)
      expect(fill(room)).toBe(4)
    })

    it('that left no call, has one place again after a pause', async () => {
      const { clock, room } = newRoom(1)
      expect(fill(room)).toBe(1)
      room.callEnded('rejected', TOOK)
      expect(fill(room)).toBe(0)
      expect(room.availableIn()).toBeGreaterThan(0)
      await clock.advance(seconds(2))
      expect(fill(room)).toBe(1)
    })

    it.each([[3, 2], [60, 2], [420, 2], [420, 10], [3, 0.1]])(
      'is tried so seldom that %i instances cause at most %i rejections per second', async (sharers, perSecond) => {
        const { clock, room, endpoint } = newRoom(1, sharers, brittleEndpoint(perSecond))
        let rejected = 0
        const span = seconds(1000)
        for (let now = 0; now < span; now += 250) {
          if (room.trySend()) {
            room.callEnded('rejected', millis(2))
            rejected++
          }
          await clock.advance(millis(250))
        }
        expect(rejected).toBeGreaterThan(0)
        expect(rejected * Math.min(sharers, endpoint.record.slots) / 1000).toBeLessThanOrEqual(perSecond)
      })
  })

  describe('after a call without an answer', () => {
    it('counts the call for a time, since it may still run', async () => {
      const { clock, room } = newRoom(1)
      fill(room)
      room.callEnded('unknown', TOOK)
      expect(fill(room)).toBe(0)
      await clock.advance(seconds(1))
      expect(fill(room)).toBe(1)
    })
  })

  describe('at an endpoint where requests wait', () => {
    it('has no place until the report is old', async () => {
      const { clock, endpoint, room } = newRoom(4)
      endpoint.load = { running: 4, waiting: 1, slots: 4, at: clock.now() }
      expect(room.canSend()).toBe(false)
      await clock.advance(MAX_REPORT_AGE)
      expect(room.canSend()).toBe(true)
    })
  })

  describe('without a place for this instance', () => {
    it('is asked seldom whether it is still brittle, at hundreds of instances far below the rejections that it bears', async () => {
      const sharers = 420
      const { clock, room } = newRoom(0, sharers)
      let sent = 0
      const span = 10_000
      for (let second = 0; second < span; second++) {
        if (room.trySend()) {
          sent++
          room.callEnded('rejected', millis(2))
        }
        await clock.advance(seconds(1))
      }
      expect(sent).toBeGreaterThan(0)
      expect(sent * sharers / span).toBeLessThan(0.5)
    })
  })

  it('counts on an even share of the slots at least, for admission and returns', () => {
    const { room, endpoint } = newRoom(0, 4 * brittleEndpoint().record.slots)
    expect(room.perSecond).toBeCloseTo(1)
    endpoint.rejectionLimit = undefined
    expect(room.perSecond).toBe(Infinity)
  })

  describe('without a place, when the endpoint is brittle once more', () => {
    it('is not asked at once for a time that began before', async () => {
      const { clock, endpoint, room } = newRoom(0)
      expect(room.canSend()).toBe(false)
      endpoint.rejectionLimit = { ...endpoint.rejectionLimit!, perSecond: undefined, version: 2 }
      await clock.advance(seconds(600))
      endpoint.rejectionLimit = { ...endpoint.rejectionLimit, perSecond: 2, version: 3 }
      expect(room.canSend()).toBe(false)
    })
  })

  describe('shared with other instances', () => {
    it('lends a free place until it comes back, or for a time', async () => {
      const { clock, room } = newRoom(1)
      const loan = await room.lend() ?? expect.fail('not lent')
      expect(fill(room)).toBe(0)
      room.returned(loan.id)
      expect(fill(room)).toBe(1)
      room.callEnded('answered', TOOK)
      await room.lend()
      await clock.advance(MAX_LEASE)
      expect(fill(room)).toBe(1)
    })

    it('lends a place that a call leaves to one that waits, and none if no call ends in time', async () => {
      const { clock, room } = newRoom(1)
      fill(room)
      const first = room.lend()
      room.callEnded('answered', TOOK)
      expect(await first).toBeDefined()
      const second = room.lend()
      await clock.advance(seconds(1))
      expect(await second).toBeUndefined()
    })

    it('gives a borrowed place back when nothing uses it', async () => {
      const lender = brand<InstanceId>('i2')
      const returned: number[] = []
      const { clock, room } = newRoom(0, 3, brittleEndpoint(), {
        lenders: () => new Map([[lender, 1]]),
        ask: () => Promise.resolve({ id: 7, lentFor: seconds(5) }),
        giveBack: ({ id }) => returned.push(id),
        wakeOne: () => returned.length === 0
      })
      expect(room.canSend()).toBe(false)
      room.request()
      await clock.advance(millis(1))
      expect(fill(room)).toBe(1)
      room.callEnded('answered', TOOK)
      await clock.advance(seconds(1))
      expect(returned).toEqual([7])
      expect(room.canSend()).toBe(false)
    })
  })
})

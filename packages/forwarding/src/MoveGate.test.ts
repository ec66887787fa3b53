import { brand, EventRecorder, millis, seconds, SeededRandom, VirtualClock } from '@papayahill/common'
import type { Json, Millis, ServiceId } from '@papayahill/common'
import type { Endpoint, ServingRoute } from '@papayahill/directory'
import { NO_JUDGE } from '@papayahill/reach'
import { describe, expect, it } from 'vitest'
import { MoveGate } from './MoveGate.js'
import type { MoveRecord } from './MoveGate.js'
import { endpointOfVersion } from './testing/endpointOfVersion.js'

const SERVICE = brand<ServiceId>('pool')
const WITHIN = seconds(12)
const RATE_PER_SECOND = 25
/** Answer times of a good and of a slow version. */
const USUAL_TIME = millis(150)
const SLOW_TIME = millis(1200)
const SEEDS = Array.from({ length: 40 }, (_none, seed) => seed)
const ROUTES = ['draft', 'check', 'guide'].map((name) => ({ name }) as unknown as ServingRoute)

const OLD = endpointOfVersion(SERVICE, 'v1')
const NEW = endpointOfVersion(SERVICE, 'v2')

type IsBad = (endpoint: Endpoint, now: number) => boolean
/** Answer time of a call; `chance` is a new random number for each. */
type TookOf = (endpoint: Endpoint, chance: number) => Millis

const NEVER_BAD: IsBad = () => false

/** The given share of the new version's answers is slow. */
const slowShare = (share: number): TookOf => (endpoint, chance) => endpoint === NEW && chance < share ? SLOW_TIME : USUAL_TIME

/** Several instances under load that share a store and receive each other's reports. */
const setUpCluster = (instances: number, seed = 0) => {
  const clock = new VirtualClock()
  const reports = new Map<number, Json>()
  let record: MoveRecord | undefined
  const gates = Array.from({ length: instances }, (_none, self) => new MoveGate({
    losses: NO_JUDGE,
    clock,
    random: new SeededRandom(seed * instances + self + 1),
    log: new EventRecorder(clock),
    records: {
      read: () => Promise.resolve(record),
      write: (_service, next) => {
        record = next
        return Promise.resolve(true)
      }
    },
    reports: {
      publish: (_service, value) => { reports.set(self, JSON.parse(JSON.stringify(value)) as Json) },
      received: () => [...reports].filter(([from]) => from !== self).map(([, value]) => value)
    },
    exposureShare: () => 0.1,
    isRecorder: () => self === 0
  }))
  const counts = { old: 0, fresh: 0 }
  const traffic = new SeededRandom(seed)
  const call = (gate: MoveGate, isBad: IsBad, tookOf: TookOf): void => {
    const route = ROUTES[Math.floor(traffic.next() * ROUTES.length)]!
    const [endpoint] = gate.selectCandidates(SERVICE, route, [OLD, NEW])
    counts[endpoint === NEW ? 'fresh' : 'old']++
    const status = isBad(endpoint!, clock.now()) ? 500 : 200
    const sent = gate.recordCall(endpoint!, route)
    clock.after(tookOf(endpoint!, traffic.next()), () => sent.callEnded({ kind: 'answered', status, headers: [], body: Buffer.alloc(0) }, false))
  }
  const run = async (durationSeconds: number, isBad: IsBad, tookOf: TookOf = () => USUAL_TIME): Promise<void> => {
    for (let at = 0; at < durationSeconds * RATE_PER_SECOND; at++) {
      call(gates[at % instances]!, isBad, tookOf)
      if (at % 8 === 0) for (const gate of gates) gate.tick()
      await clock.advance(millis(1000 / RATE_PER_SECOND))
    }
  }
  for (const gate of gates) gate.applyOrder({ service: SERVICE, to: 'v2', within: WITHIN }, SERVICE)
  /** Makes calls of one instance to the new version fail. */
  const fail = (instance: number, count: number): void => {
    for (let call = 0; call < count; call++) gates[instance]!.recordCall(NEW, ROUTES[0]!).callEnded({ kind: 'lost', detail: 'reset', isConnectionLost: false }, false)
  }
  const tickAll = async (ticking: readonly MoveGate[] = gates): Promise<void> => {
    for (const gate of ticking) gate.tick()
    await clock.advance(millis(300))
  }
  const tickFirst = async (): Promise<void> => await tickAll(gates.slice(0, 1))
  const versionAt = (self: number): string | undefined => gates[self]!.selectCandidates(SERVICE, ROUTES[0]!, [OLD, NEW])[0]?.record.version
  /** The store comes back from an older copy, in which the move was in the given state. */
  const restore = (older: MoveRecord | undefined): void => {
    record = older
    for (const gate of gates) gate.recordAgain()
  }
  return { run, counts, fail, tickAll, tickFirst, versionAt, restore, record: () => record }
}

describe('MoveGate', () => {
  it('completes the move to a good version by the time set', async () => {
    const { run, record } = setUpCluster(6)
    await run(12, () => false)
    expect(record()).toEqual({ to: 'v2', state: 'done' })
  })

  it('rolls a bad version back with little exposure, by the answers of all instances', async () => {
    const { run, counts, record } = setUpCluster(6)
    await run(12, (endpoint, now) => endpoint === NEW && now % 2 < 1)
    expect(record()).toEqual({ to: 'v2', state: 'taken-back' })
    expect(counts.fresh).toBeLessThanOrEqual(0.1 * 12 * RATE_PER_SECOND + 50)
    const before = counts.fresh
    await run(4, () => false)
    expect(counts.fresh).toBe(before)
  })

  it('rolls a version back whose failures begin once it gets all requests', async () => {
    const { run, counts, record } = setUpCluster(6)
    await run(12, (endpoint, now) => endpoint === NEW && now > 10_300)
    expect(record()).toEqual({ to: 'v2', state: 'taken-back' })
    expect(counts.fresh).toBeLessThanOrEqual(0.1 * 12 * RATE_PER_SECOND + 50)
  })

  it('ends with one version on all instances if one rolls back while another completes the move', async () => {
    const { run, fail, tickAll, tickFirst, versionAt, record } = setUpCluster(3)
    await run(11.2, NEVER_BAD)
    fail(2, 40)
    await tickFirst()
    await tickFirst()
    expect(record()?.state).toBe('done')
    for (let round = 0; round < 4; round++) await tickAll()
    expect([0, 1, 2].map(versionAt)).toEqual(['v2', 'v2', 'v2'])
  })

  describe('when a restored store has lost its record', () => {
    it.each<[string, MoveRecord | undefined]>([['lacks it', undefined], ['still says that it moves', { to: 'v2', state: 'moving' }]])(
      'writes its end again if the store %s', async (_what, older) => {
        const { run, tickAll, restore, record } = setUpCluster(3)
        await run(12, (endpoint) => endpoint === NEW)
        expect(record()?.state).toBe('taken-back')
        restore(older)
        for (let round = 0; round < 3; round++) await tickAll()
        expect(record()).toEqual({ to: 'v2', state: 'taken-back' })
      })

    it('keeps an end that was recorded, whatever it saw since', async () => {
      const { run, fail, tickAll, restore, versionAt, record } = setUpCluster(3)
      await run(12, NEVER_BAD)
      expect(record()?.state).toBe('done')
      restore({ to: 'v2', state: 'moving' })
      fail(0, 40)
      for (let round = 0; round < 3; round++) await tickAll()
      expect(record()?.state).toBe('done')
      expect([0, 1, 2].map(versionAt)).toEqual(['v2', 'v2', 'v2'])
    })
  })

  it('does not roll a version back for failures that the old version has as well', async () => {
    const { run, record } = setUpCluster(6)
    let call = 0
    await run(12, () => ++call % 7 === 0)
    expect(record()?.state).toBe('done')
  })

  describe.each([[6, 40], [60, 40], [200, 4]])('a version that answers several times slower, at %i instances', (instances, seeds) => {
    it.each([0.5, 0.9])('is not completed if a share of %f of its answers is slow', async (share) => {
      for (const seed of SEEDS.slice(0, seeds)) {
        const { run, record, counts } = setUpCluster(instances, seed)
        await run(4, NEVER_BAD, slowShare(share))
        await run(8, NEVER_BAD, slowShare(share))
        expect(record()?.state, `seed ${seed}`).not.toBe('done')
        expect(counts.fresh, `seed ${seed}`).toBeLessThanOrEqual(0.1 * 12 * RATE_PER_SECOND + 50)
      }
    })
  })

  it('completes moves to good versions, except for a few that stay open', async () => {
    const states: Array<string | undefined> = []
    for (const seed of SEEDS) {
      const { run, record } = setUpCluster(6, seed)
      const sometimesSlow: TookOf = (_endpoint, chance) => chance < 0.01 ? SLOW_TIME : USUAL_TIME
      await run(12, NEVER_BAD, sometimesSlow)
      states.push(record()?.state)
    }
    expect(states).not.toContain('taken-back')
    expect(states.filter((state) => state === 'done').length).toBeGreaterThanOrEqual(0.9 * SEEDS.length)
  })
})

import type { ClaimAttempt, ClaimDecision, ClaimOutcome, ClaimRequest, KeyStatus } from '@papayahill/claims'
import { brand, millis, seconds } from '@papayahill/common'
import type { BodyDigest, ClassId, IdempotencyKey, RequestId, ServiceId, WorkspaceId } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { StateRig } from './StateRig.js'

const W = brand<WorkspaceId>('norte')
const K = brand<IdempotencyKey>('k1')
const DONE: ClaimOutcome = { kind: 'answered', body: { order: 81 } }

let count = 0
const request = (fields: Partial<ClaimRequest> = {}): ClaimRequest => ({
  workspace: W,
  class: brand<ClassId>('order'),
  service: brand<ServiceId>('orders'),
  key: K,
  digest: brand<BodyDigest>('a'),
  request: brand<RequestId>(`r${++count}`),
  patience: millis(1000),
  ...fields
})

const started = async (instances = 3, lookUp?: () => Promise<KeyStatus | undefined>): Promise<StateRig> => {
  const rig = new StateRig({ seed: 3, instances, hasConfig: false, lookUp })
  await rig.startAll(seconds(2))
  return rig
}

const beginAt = async (rig: StateRig, index: number, fields: Partial<ClaimRequest> = {}, wait = seconds(2)): Promise<ClaimDecision> => {
  const begun = rig.at(index).claims.begin(request(fields))
  await rig.clock.advance(wait)
  return await begun
}

/** Begins and takes the right to send; the time is short, so that the lease has not lapsed. */
const claimAt = async (rig: StateRig, index: number): Promise<ClaimAttempt> => {
  const decision = await beginAt(rig, index, {}, millis(100))
  if (decision.kind !== 'run') throw new Error(`decided ${decision.kind}`)
  return decision.attempt
}

const sentAt = async (rig: StateRig, index: number): Promise<ClaimAttempt> => {
  const attempt = await claimAt(rig, index)
  expect(attempt.dispatch()).toBe(true)
  return attempt
}

const failureOf = (decision: ClaimDecision) => decision.kind === 'refuse' ? decision.failure : undefined

describe('ClaimKeeper', () => {
  describe('a key that was answered', () => {
    it('gives the same outcome to each later caller at any instance', async () => {
      const rig = await started()
      const attempt = await sentAt(rig, 0)
      void attempt.finish(DONE)
      for (const index of [0, 1, 2]) expect(await beginAt(rig, index)).toEqual({ kind: 'replay', outcome: DONE })
    })

    it('refuses another body, and does not say that the key did not run', async () => {
      const rig = await started()
      void (await sentAt(rig, 0)).finish(DONE)
      await rig.clock.advance(millis(100))
      const decision = await beginAt(rig, 1, { digest: brand<BodyDigest>('b') })
      expect(failureOf(decision)).toMatchObject({ kind: 'key-reused', run: 'ran' })
    })
  })

  describe('a key that runs', () => {
    it('lets a second caller wait for the outcome, here and at another instance', async () => {
      const rig = await started()
      const attempt = await sentAt(rig, 0)
      const joined = [0, 1].map((index) => rig.at(index).claims.begin(request()))
      await rig.clock.advance(millis(300))
      void attempt.finish(DONE)
      await rig.clock.advance(millis(100))
      expect(await Promise.all(joined)).toEqual([{ kind: 'replay', outcome: DONE }, { kind: 'replay', outcome: DONE }])
    })

    it('answers at the end of the caller\'s patience that it still runs, and when to come back', async () => {
      const rig = await started()
      await sentAt(rig, 0)
      const failure = failureOf(await beginAt(rig, 1))
      expect(failure).toMatchObject({ kind: 'outcome-unknown', run: 'unknown' })
      expect(failure?.retryAfter).toBeGreaterThan(0)
    })

    it('gives the right to send to one of many that begin at once', async () => {
      const rig = await started(5)
      const begun = rig.all().flatMap((one) => [one.claims.begin(request()), one.claims.begin(request())])
      await rig.clock.advance(seconds(3))
      const decisions = await Promise.all(begun)
      expect(decisions.filter((decision) => decision.kind === 'run')).toHaveLength(1)
    })
  })

  describe('not-run', () => {
    it('frees the key once the release is recorded, for requests that surely came in after it', async () => {
      const rig = await started()
      const attempt = await claimAt(rig, 0)
      const released = attempt.notSent()
      await rig.clock.advance(millis(100))
      expect(await released).toBe(true)
      expect(failureOf(await beginAt(rig, 1, {}, millis(200)))).toMatchObject({ run: 'unknown' })
      await rig.clock.advance(millis(500))
      expect((await beginAt(rig, 1)).kind).toBe('run')
    })

    it('is not said where the release takes the store long', async () => {
      const rig = await started()
      const attempt = await claimAt(rig, 0)
      rig.table.faults.latency = millis(400)
      const released = attempt.notSent()
      await rig.clock.advance(seconds(2))
      expect(await released).toBe(false)
    })

    it('stays true where the read of an earlier request takes the store long', async () => {
      const rig = await started()
      rig.table.faults.latency = millis(800)
      const early = rig.at(1).claims.begin(request())
      await rig.clock.advance(millis(100))
      rig.table.faults.latency = millis(3)
      const released = (await claimAt(rig, 0)).notSent()
      await rig.clock.advance(millis(50))
      expect(await released).toBe(true)
      await rig.clock.advance(seconds(2))
      expect(failureOf(await early)).toMatchObject({ run: 'unknown' })
    })

    it('is not said where the release could not be recorded', async () => {
      const rig = await started()
      const attempt = await claimAt(rig, 0)
      rig.table.faults.isDown = true
      const released = attempt.notSent()
      await rig.clock.advance(seconds(2))
      expect(await released).toBe(false)
    })

    it('keeps an attempt that read the key before from running', async () => {
      const rig = await started()
      const slow = rig.at(1).claims.begin(request())
      await rig.clock.advance(millis(4))
      rig.pause(rig.ids[1]!)
      const released = (await claimAt(rig, 0)).notSent()
      await rig.clock.advance(millis(100))
      expect(await released).toBe(true)
      rig.resume(rig.ids[1]!)
      await rig.clock.advance(seconds(2))
      expect(failureOf(await slow)).toMatchObject({ run: 'unknown' })
    })

    it('stays true where a request waits in a queue while its key is refused elsewhere', async () => {
      const rig = await started()
      const queued = request()
      rig.at(1).claims.arrive?.(queued)
      await rig.clock.advance(millis(100))
      const released = (await claimAt(rig, 0)).notSent()
      await rig.clock.advance(millis(100))
      expect(await released).toBe(true)
      const begun = rig.at(1).claims.begin(queued)
      await rig.clock.advance(seconds(1))
      expect(failureOf(await begun)).toMatchObject({ kind: 'outcome-unknown', run: 'unknown' })
      expect((await beginAt(rig, 1)).kind).toBe('run')
    })

    it('stays true where a request waited through a pause: for a moment nothing is claimed after it', async () => {
      const rig = await started()
      rig.pause(rig.ids[1]!)
      await rig.clock.advance(seconds(1))
      rig.resume(rig.ids[1]!)
      const decision = await beginAt(rig, 1)
      expect(failureOf(decision)).toMatchObject({ kind: 'not-ready', run: 'unknown' })
      expect((await beginAt(rig, 1)).kind).toBe('run')
    })
  })

  describe('the right to send', () => {
    it('lapses while its holder is paused', async () => {
      const rig = await started()
      const attempt = await claimAt(rig, 0)
      rig.pause(rig.ids[0]!)
      await rig.clock.advance(seconds(8))
      rig.resume(rig.ids[0]!)
      expect(attempt.dispatch()).toBe(false)
    })

    it('is given once', async () => {
      const rig = await started()
      const attempt = await sentAt(rig, 0)
      expect(attempt.dispatch()).toBe(false)
    })
  })

  describe('an owner that dies', () => {
    it('leaves its key unknown, and nobody runs it again', async () => {
      const rig = await started()
      await sentAt(rig, 0)
      rig.kill(rig.ids[0]!)
      await rig.clock.advance(seconds(15))
      expect(failureOf(await beginAt(rig, 1))).toMatchObject({ kind: 'outcome-unknown', run: 'unknown' })
      const listing = rig.at(2).claims.unknown()
      await rig.clock.advance(millis(100))
      expect((await listing).map((claim) => claim.key)).toEqual([K])
    })

    it('has its key listed also where nobody asked for it since', async () => {
      const rig = await started()
      await sentAt(rig, 0)
      rig.kill(rig.ids[0]!)
      await rig.clock.advance(seconds(15))
      const listing = rig.at(2).claims.unknown()
      await rig.clock.advance(millis(100))
      expect((await listing).map(({ key, state }) => ({ key, state }))).toEqual([{ key: K, state: 'claimed' }])
    })

    it('before it sent leaves its key unknown as well, since nobody else can tell', async () => {
      const rig = await started()
      await claimAt(rig, 0)
      rig.kill(rig.ids[0]!)
      await rig.clock.advance(seconds(15))
      expect((await beginAt(rig, 1)).kind).toBe('refuse')
    })

    it('has its key resolved by the service\'s own record', async () => {
      const rig = await started(3, () => Promise.resolve({ kind: 'ran', body: { order: 82 } }))
      await sentAt(rig, 0)
      rig.kill(rig.ids[0]!)
      await rig.clock.advance(seconds(15))
      expect(await beginAt(rig, 1)).toEqual({ kind: 'replay', outcome: { kind: 'answered', body: { order: 82 } } })
    })

    it('is called not run by the service only once no call can be under way any more', async () => {
      const rig = await started(3, () => Promise.resolve({ kind: 'not-run' }))
      await sentAt(rig, 0)
      rig.kill(rig.ids[0]!)
      await rig.clock.advance(seconds(15))
      expect(failureOf(await beginAt(rig, 1))).toMatchObject({ run: 'unknown' })
      await rig.clock.advance(seconds(120))
      expect(await beginAt(rig, 1)).toMatchObject({ kind: 'replay', outcome: { kind: 'failed', failure: { run: 'not-run' } } })
    })

    it('has its key resolved by an operator, for good', async () => {
      const rig = await started()
      await sentAt(rig, 0)
      rig.kill(rig.ids[0]!)
      await rig.clock.advance(seconds(15))
      await beginAt(rig, 1)
      const early = rig.at(1).claims.resolve(W, K, 'not-run')
      await rig.clock.advance(seconds(120))
      expect(await early).toMatchObject({ kind: 'conflict' })
      const resolved = rig.at(2).claims.resolve(W, K, 'not-run')
      await rig.clock.advance(millis(100))
      expect(await resolved).toBeUndefined()
      expect(await beginAt(rig, 1)).toMatchObject({ kind: 'replay', outcome: { failure: { run: 'not-run' } } })
    })
  })

  describe('a lost answer of the store', () => {
    it('to the claim is read back', async () => {
      const rig = await started()
      rig.table.faults.lostAnswerShare = 1
      expect((await beginAt(rig, 0)).kind).toBe('run')
    })

    it('and an outage right after send nothing, and the owner lets another instance take over', async () => {
      const rig = await started()
      rig.table.faults.lostAnswerShare = 1
      const begun = rig.at(0).claims.begin(request())
      await rig.clock.advance(millis(5))
      rig.table.faults.isDown = true
      await rig.clock.advance(seconds(1))
      const failure = failureOf(await begun)
      expect(failure).toMatchObject({ kind: 'store-unavailable', run: 'unknown' })
      rig.table.faults.isDown = false
      rig.table.faults.lostAnswerShare = 0
      expect((await beginAt(rig, 1)).kind).toBe('run')
    })
  })

  describe('a store outage', () => {
    it('before the claim refuses at once, and says that this attempt was not sent', async () => {
      const rig = await started()
      rig.table.faults.isDown = true
      const failure = failureOf(await beginAt(rig, 0, {}, millis(400)))
      expect(failure).toMatchObject({ kind: 'store-unavailable', run: 'unknown' })
      expect(failure?.detail).toContain('not sent')
      expect(failure?.retryAfter).toBeGreaterThan(0)
    })

    it('lets a request without a key of its own be called not run', async () => {
      const rig = await started()
      rig.table.faults.isDown = true
      const failure = failureOf(await beginAt(rig, 0, { key: brand<IdempotencyKey>('r-own'), request: brand<RequestId>('r-own') }))
      expect(failure).toMatchObject({ run: 'not-run' })
    })

    it('after the answer leaves the outcome with two peers, who give it out and write it when their owner is gone', async () => {
      const rig = await started(4)
      const attempt = await sentAt(rig, 0)
      rig.table.faults.isDown = true
      const kept = attempt.finish(DONE)
      await rig.clock.advance(seconds(1))
      await kept
      rig.kill(rig.ids[0]!)
      await rig.clock.advance(seconds(30))
      expect(await beginAt(rig, 3)).toEqual({ kind: 'replay', outcome: DONE })
      rig.table.faults.isDown = false
      await rig.clock.advance(seconds(10))
      for (const id of rig.ids.slice(1, 3)) rig.kill(id)
      expect(await beginAt(rig, 3)).toEqual({ kind: 'replay', outcome: DONE })
    })

    it('during a drain hands outcomes over', async () => {
      const rig = await started(3)
      const attempt = await sentAt(rig, 0)
      rig.table.faults.isDown = true
      void attempt.finish(DONE)
      const drained = rig.at(0).claims.drain()
      await rig.clock.advance(seconds(2))
      await drained
      rig.kill(rig.ids[0]!)
      await rig.clock.advance(seconds(2))
      expect(await beginAt(rig, 1)).toEqual({ kind: 'replay', outcome: DONE })
    })
  })

  describe('pruning', () => {
    it('deletes settled claims a day later, and keeps unknown ones', async () => {
      const rig = await started(2)
      void (await sentAt(rig, 0)).finish(DONE)
      await rig.clock.advance(seconds(1))
      const second = await beginAt(rig, 0, { key: brand<IdempotencyKey>('k2') }, millis(100))
      if (second.kind === 'run' && second.attempt.dispatch()) void second.attempt.lost()
      await rig.clock.advance(seconds(1))
      const rowsNow = (): readonly string[] => [...rig.table.backup().keys()].filter((key) => key.startsWith('claim'))
      expect(rowsNow().filter((key) => key.startsWith('claim/'))).toHaveLength(2)
      for (const one of rig.all()) one.roster.stop()
      await rig.clock.advance(seconds(86_400 + 600))
      expect(rowsNow().filter((key) => key.startsWith('claim/'))).toEqual(['claim/norte/k2'])
      expect(rowsNow().filter((key) => key.startsWith('claim-log/'))).toHaveLength(1)
    })
  })

  describe('group commit', () => {
    it('puts more into one transaction while the store is slow', async () => {
      const rig = await started(1)
      rig.table.faults.latency = millis(200)
      const before = rig.table.writes
      const begun: Array<Promise<ClaimDecision>> = []
      for (let index = 0; index < 90; index++) {
        begun.push(rig.at(0).claims.begin(request({ key: brand<IdempotencyKey>(`k${index}`) })))
        await rig.clock.advance(millis(10))
      }
      await rig.clock.advance(seconds(2))
      expect((await Promise.all(begun)).every((decision) => decision.kind === 'run')).toBe(true)
      expect(rig.table.writes - before).toBeLessThan(20)
    })

    it('makes many claims in few transactions, each with its own fate', async () => {
      const rig = await started(1)
      const before = rig.table.writes
      const begun = Array.from({ length: 100 }, (_, index) => rig.at(0).claims.begin(request({ key: brand<IdempotencyKey>(`k${index % 90}`) })))
      await rig.clock.advance(seconds(3))
      const decisions = await Promise.all(begun)
      expect(decisions.filter((decision) => decision.kind === 'run')).toHaveLength(90)
      expect(rig.table.writes - before).toBeLessThan(10)
    })
  })
})

import { millis, seconds } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import { beforeEach, describe, expect, it } from 'vitest'
import { LEASE_KEY, TOKENS_PER_ERA } from './constants.js'
import { parseLease } from './leaseRecord.js'
import { DutyHarness } from './testing/DutyHarness.js'
import type { DutyInstance } from './testing/DutyHarness.js'

const LEASE_TIME = seconds(3)
/** The wait of candidates, with their margin, on the slowest clock, and some time for the calls. */
const TAKEOVER_TIME = millis(4000)
const SPAN = millis(500)
const NO_VIOLATIONS = { sharedTokens: 0, tokensBack: 0, interleaved: 0 }

describe('DutyLease', () => {
  let harness: DutyHarness
  let first: DutyInstance

  beforeEach(async () => {
    harness = new DutyHarness({ size: 6 })
    await harness.startAll()
    first = harness.holder!
    await harness.clock.advance(seconds(5))
  })

  const advance = (span: Millis): Promise<void> => harness.clock.advance(span)

  /** Waits until another instance than the first holder holds the lease; returns the time that it took. */
  const waitForNext = async (limit: Millis): Promise<Millis | undefined> => {
    const begun = harness.clock.now()
    const isTaken = await harness.clock.advanceUntil(() => harness.holder !== undefined && harness.holder !== first, limit)
    return isTaken ? millis(harness.clock.now() - begun) : undefined
  }

  /** The rules hold, and the present holder acts. */
  const expectOneActing = async (): Promise<void> => {
    await advance(LEASE_TIME)
    expect(harness.instances.filter(({ isRunning, lease }) => isRunning && lease.isHeld)).toHaveLength(1)
    expect(harness.platform.acts.at(-1)?.holder).toBe(harness.holder?.id)
    expect(harness.platform.violations).toEqual(NO_VIOLATIONS)
  }

  it('is held by one instance, the only one that calls the store, once in half a lease time', async () => {
    const { calls, commits } = harness.store
    await advance(seconds(30))
    expect(harness.holder).toBe(first)
    expect(harness.store.calls - calls).toBe(harness.store.commits - commits)
    expect(harness.store.calls - calls).toBeLessThanOrEqual(22)
    await expectOneActing()
  })

  it('passes to another instance after a kill, and not before the lease has ended', async () => {
    harness.kill(first)
    const took = await waitForNext(TAKEOVER_TIME)
    expect(took).toBeGreaterThan(LEASE_TIME / 2)
    await expectOneActing()
  })

  it('passes at once after a planned stop, with a greater token', async () => {
    const token = first.lease.status().token!
    void harness.stop(first)
    expect(await waitForNext(seconds(1.5))).toBeDefined()
    expect(harness.holder!.lease.permit(SPAN)).toBeGreaterThan(token)
    await expectOneActing()
  })

  it('does not go A, B, A within the lease time if both are stopped and started in turn', async () => {
    void harness.stop(first)
    await waitForNext(seconds(1.5))
    await advance(seconds(1.2))
    harness.start(first.number)
    for (const instance of harness.instances) if (instance !== harness.holder && instance.number !== first.number) harness.kill(instance)
    void harness.stop(harness.holder!)
    await harness.clock.advanceUntil(() => harness.holder?.number === first.number, seconds(6))
    await expectOneActing()
  })

  it.each(['stopped', 'suspended'] as const)('is not used by a holder that was %s across its end', async (kind) => {
    harness.freeze(first, kind)
    await waitForNext(TAKEOVER_TIME)
    harness.resume(first)
    expect(first.lease.permit(millis(0))).toBeUndefined()
    await expectOneActing()
  })

  it('is not used by a holder whose wall clock jumped forward, until it has renewed it', async () => {
    first.machine.jump(LEASE_TIME)
    expect(first.lease.permit(SPAN)).toBeUndefined()
    await advance(LEASE_TIME)
    expect(first.lease.permit(SPAN)).toBeDefined()
  })

  it('ends in time for a holder that was suspended after its wall clock jumped back', async () => {
    first.machine.jump(millis(-60_000))
    harness.freeze(first, 'suspended')
    await advance(LEASE_TIME)
    harness.resume(first)
    expect(first.lease.permit(millis(0))).toBeUndefined()
  })

  it('gives no permit for longer than it lasts', () => {
    expect(first.lease.permit(LEASE_TIME)).toBeUndefined()
    expect(first.lease.permit(SPAN)).toBeDefined()
  })

  it('is valid from the start of a slow write, not from its answer', async () => {
    harness.store.latency = millis(650)
    const { renewals } = first.lease.status()
    expect(await harness.clock.advanceUntil(() => first.lease.status().renewals > renewals, seconds(3))).toBe(true)
    expect(first.lease.status().remaining).toBeLessThanOrEqual(LEASE_TIME - 600)
  })

  it('ends while the store is down, and is taken within about a second once it is back', async () => {
    harness.store.isDown = true
    await advance(seconds(20))
    expect(harness.holder).toBeUndefined()
    harness.store.isDown = false
    expect(await harness.clock.advanceUntil(() => harness.holder !== undefined, seconds(1.2))).toBe(true)
    await expectOneActing()
  })

  it('passes in time after a kill that follows an outage, though all first candidates had backed off in it', async () => {
    harness = new DutyHarness({ size: 200 })
    await harness.startAll()
    harness.store.isDown = true
    await advance(seconds(24))
    harness.store.isDown = false
    await advance(seconds(5))
    first = harness.holder!
    harness.kill(first)
    expect(await waitForNext(TAKEOVER_TIME)).toBeDefined()
    await expectOneActing()
  })

  it('passes to another instance if the holder is cut off from the store', async () => {
    harness.store.refuse(first.id)
    expect(await waitForNext(seconds(6))).toBeDefined()
    await expectOneActing()
  })

  it('is kept by a holder whose answers are lost once', async () => {
    harness.store.lostAnswers = 1
    await advance(seconds(6))
    expect(harness.holder).toBe(first)
    await expectOneActing()
  })

  it('is not used after a write without an answer until the holder has renewed it', async () => {
    const [candidate, ...others] = harness.instances.filter((instance) => instance !== first)
    for (const other of [first, ...others]) harness.kill(other)
    harness.store.lateCommits = 1
    harness.store.lateBy = millis(300)
    const written = (): string | undefined => parseLease(harness.store.row(LEASE_KEY).value)?.holder
    expect(await harness.clock.advanceUntil(() => written() === candidate!.id, seconds(6))).toBe(true)
    const { token } = parseLease(harness.store.row(LEASE_KEY).value)!
    expect(candidate!.lease.isHeld).toBe(false)
    expect(await harness.clock.advanceUntil(() => candidate!.lease.isHeld, seconds(2))).toBe(true)
    expect(candidate!.lease.permit(millis(0))).toBeGreaterThan(token)
    await expectOneActing()
  })

  it('has tokens of the next era after the store came back from an older copy, and is kept by its holder', async () => {
    const copy = harness.store.copy()
    await advance(seconds(5))
    harness.store.restore(copy)
    await advance(seconds(3))
    expect(harness.holder).toBe(first)
    expect(first.lease.permit(SPAN)).toBeGreaterThanOrEqual(TOKENS_PER_ERA)
    await expectOneActing()
  })

  it('is not taken on a restored release while a later holder still acts', async () => {
    void harness.stop(first)
    await waitForNext(seconds(1.5))
    await advance(seconds(5))
    const second = harness.holder!
    void harness.stop(second)
    await harness.clock.advanceUntil(() => harness.events.records.filter(({ kind }) => kind.name === 'leaseReleased').length === 2, seconds(2))
    const copy = harness.store.copy()
    await advance(seconds(2))
    const third = harness.holder!
    harness.store.refuse(third.id)
    harness.store.restore(copy)
    harness.network.cut(first.id)
    harness.start(first.number)
    await advance(seconds(1.3))
    expect(harness.instances.filter(({ lease, isRunning }) => isRunning && lease.isHeld)).toHaveLength(1)
    harness.network.heal(first.id)
    await advance(seconds(8))
    await expectOneActing()
  })

  it('is not taken up again from an own restored record, after another instance took it unheard', async () => {
    const copy = harness.store.copy()
    harness.network.cut(first.id)
    harness.freeze(first, 'stopped')
    await waitForNext(TAKEOVER_TIME)
    harness.store.restore(copy)
    harness.resume(first)
    await advance(millis(700))
    expect(first.lease.isHeld).toBe(false)
    harness.network.heal(first.id)
    await expectOneActing()
  })

  it('passes in time after a kill though the store has told no instance yet that its history is gone', async () => {
    harness.store.forgetHistory()
    harness.kill(first)
    expect(await waitForNext(TAKEOVER_TIME)).toBeDefined()
    await expectOneActing()
  })

  it('is taken anew a whole lease time after its row was lost', async () => {
    harness.kill(first)
    harness.store.restore()
    expect(await waitForNext(seconds(9))).toBeGreaterThan(LEASE_TIME)
    await expectOneActing()
  })

  it('stays with its holder if no instance hears of the others, since candidates read the row before they write it', async () => {
    for (const { id } of harness.instances) harness.network.cut(id)
    await advance(seconds(30))
    expect(harness.holder).toBe(first)
    await expectOneActing()
  })
})

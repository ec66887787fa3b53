import { millis, seconds } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import type { TableInstance } from './testing/TableHarness.js'
import { TableHarness } from './testing/TableHarness.js'

/** Time in which a leaving endpoint must be known everywhere, also in the smallest deployments. */
const LEAVING_LIMIT = millis(2000)
const SETTLE = seconds(12)

const startHarness = async (instances: number): Promise<TableHarness> => {
  const harness = new TableHarness(instances)
  for (let row = 0; row < 20; row++) harness.store.put(`e${row}`, row)
  await harness.start(SETTLE)
  return harness
}

/** Whether each revision after the first read, of 20 rows, is newer than the one before it. */
const neverWentBack = ({ revisions }: TableInstance): boolean =>
  revisions.every((revision, at) => at < 20 || revision > (revisions[at - 1] ?? 0))

describe('TableRelay', () => {
  describe.each([6, 60])('%i instances', (count) => {
    it('polls the table from three of them and notifies all others at once', async () => {
      const harness = await startHarness(count)
      expect(harness.watchers.length).toBe(3)
      const before = harness.store.calls
      await harness.clock.advance(seconds(30))
      expect((harness.store.calls - before) / 30).toBeLessThan(1.5)
      expect(await harness.change('e1', 'left', LEAVING_LIMIT)).toBeLessThan(500)
    })

    it('notifies all of a change in time when all watchers have been killed', async () => {
      const harness = await startHarness(count)
      const watchers = harness.watchers
      for (const watcher of watchers) harness.kill(watcher)
      const left = harness.instances.filter((instance) => !watchers.includes(instance))
      expect(await harness.change('e1', 'left', LEAVING_LIMIT, left)).toBeDefined()
    })

    it('notifies all in time when the store no longer answers any watcher, with or without a refusal', async () => {
      const harness = await startHarness(count)
      harness.watchers.forEach((watcher, at) => { watcher.access = at === 0 ? 'silent' : 'refuses' })
      await harness.clock.advance(seconds(4))
      expect(await harness.change('e1', 'left', LEAVING_LIMIT)).toBeDefined()
    })
  })

  // Callers were served with a revoked key for 5 s: nobody polled while all watchers had silent polls open.
  describe('while all watchers are cut off from the store, silently', () => {
    describe.each([4, 6, 9, 60])('%i instances', (count) => {
      it.each([0, 300, 800, 1500, 2200, 2700, 2950])('know of a change in time, %i ms after a poll began', async (moment) => {
        const harness = await startHarness(count)
        const cut = harness.watchers
        await harness.clock.advance(millis(moment))
        for (const watcher of cut) watcher.access = 'silent'
        await harness.clock.advance(millis(20))
        const others = harness.instances.filter((instance) => !cut.includes(instance))
        expect(await harness.change('e1', 'left', LEAVING_LIMIT, others)).toBeDefined()
        expect(await harness.change('e1', 'back', LEAVING_LIMIT, others)).toBeDefined()
      })

      it('know of a change in time where one watcher is killed and the others are cut off', async () => {
        const harness = await startHarness(count)
        const [killed, ...cut] = harness.watchers
        for (const watcher of cut) watcher.access = 'silent'
        await harness.clock.advance(millis(900))
        harness.kill(killed!)
        const others = harness.instances.filter((instance) => instance !== killed && !cut.includes(instance))
        expect(await harness.change('e1', 'left', LEAVING_LIMIT, others)).toBeDefined()
      })
    })
  })

  it('notifies instances that the store refuses, through the others', async () => {
    const harness = await startHarness(20)
    const refused = harness.instances.filter((_instance, at) => at % 2 === 0)
    for (const instance of refused) instance.access = 'refuses'
    await harness.clock.advance(seconds(2))
    expect(await harness.change('e1', 'left', LEAVING_LIMIT)).toBeDefined()
  })

  it('sends the whole table to a starting instance that the store refuses', async () => {
    const harness = await startHarness(8)
    const late = harness.add(8)
    late.access = 'refuses'
    await harness.clock.advance(seconds(4))
    expect(late.known.size).toBe(20)
  })

  it('polls the store from an instance that is cut off from all others', async () => {
    const harness = await startHarness(20)
    const [alone] = harness.instances.filter((instance) => !harness.watchers.includes(instance))
    for (const other of harness.instances) if (other !== alone) harness.network.partition(alone!.identity, other.identity)
    await harness.clock.advance(seconds(3))
    expect(await harness.change('e1', 'left', LEAVING_LIMIT, [alone!])).toBeDefined()
  })

  it('does not make all instances poll the store when its history is gone or after an outage', async () => {
    const harness = await startHarness(60)
    harness.store.put('e2', 'changed')
    harness.store.forgetHistory()
    const before = harness.store.calls
    expect(await harness.change('e1', 'left', LEAVING_LIMIT)).toBeDefined()
    for (const instance of harness.instances) instance.access = 'refuses'
    await harness.clock.advance(seconds(10))
    expect((harness.store.calls - before) / 60).toBeLessThan(12)
    for (const instance of harness.instances) instance.access = 'serves'
    expect(await harness.change('e3', 'back', millis(4000))).toBeDefined()
    expect(harness.instances.every(neverWentBack)).toBe(true)
  })

  describe.each([6, 60])('%i instances, after the store was restored from an older copy,', (count) => {
    /** Restores the store from a copy that lacks the newest changes; `lost` are their keys. */
    const restore = async (...lost: readonly string[]): Promise<TableHarness> => {
      const harness = await startHarness(count)
      const copy = harness.store.copy()
      for (const key of lost) expect(await harness.change(key, 'lost', LEAVING_LIMIT)).toBeDefined()
      harness.store.restore(copy)
      await harness.clock.advance(millis(600))
      return harness
    }

    it('are notified of a change whose revision had been given out before', async () => {
      const harness = await restore('e1', 'e2', 'e3')
      expect(await harness.change('e4', 'new', LEAVING_LIMIT)).toBeDefined()
    })

    it('are notified of a change once the revisions have passed the earlier ones', async () => {
      const harness = await restore('e1')
      for (const key of ['e2', 'e3', 'e4']) expect(await harness.change(key, 'new', LEAVING_LIMIT)).toBeDefined()
    })
  })

  describe('after the store did not answer', () => {
    const OUTAGE = seconds(8)
    const settle = async (access: 'all' | 'one watcher'): Promise<TableHarness> => {
      const harness = new TableHarness(9)
      await harness.start(seconds(6))
      const refused = access === 'all' ? harness.instances : harness.watchers.slice(0, 1)
      for (const instance of refused) instance.access = 'refuses'
      await harness.clock.advance(OUTAGE)
      for (const instance of refused) instance.access = 'serves'
      await harness.change('a', 1, seconds(4))
      for (let value = 2; value < 6; value++) await harness.change('a', value, seconds(1))
      return harness
    }

    it('one instance, no instance takes that for an outage of the store', async () => {
      const harness = await settle('one watcher')
      expect(harness.instances.flatMap(({ outages }) => outages)).toEqual([])
    })

    it('any instance, all of them know of the outage', async () => {
      const harness = await settle('all')
      for (const { outages } of harness.instances) expect(Math.max(...outages)).toBeGreaterThan(OUTAGE - 4000)
    })
  })

  it('never goes back to an older revision, in whatever order changes arrive', async () => {
    const harness = await startHarness(30)
    for (let change = 0; change < 40; change++) {
      harness.store.put('e1', change)
      await harness.clock.advance(millis(37))
    }
    await harness.clock.advance(seconds(1))
    expect(harness.instances.every(neverWentBack)).toBe(true)
    expect(harness.instances.every(({ known }) => known.get('e1') === 39)).toBe(true)
  })
})

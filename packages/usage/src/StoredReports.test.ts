import { brand, EventRecorder, millis, seconds, VirtualClock } from '@papayahill/common'
import type { InstanceId, Json, WorkspaceId } from '@papayahill/common'
import { FaultyDutyTable } from '@papayahill/duties'
import { describe, expect, it } from 'vitest'
import { StoredReports } from './StoredReports.js'
import type { UsageReport } from './types.js'
import { WrittenReports } from './WrittenReports.js'
import type { WrittenReportsOptions } from './WrittenReports.js'

const reportOf = (window: number, count = window): UsageReport => ({ window, counts: new Map([[brand<WorkspaceId>('norte'), count]]) })

const PEERS: WrittenReportsOptions['peers'] = { entries: () => [], onEntry: () => {}, publish: () => {} }

/** One instance as holder, with the table that it shares with others. */
const setUp = (table: FaultyDutyTable, clock: VirtualClock, name: string) => {
  const log = new EventRecorder(clock)
  const written = new WrittenReports({ peers: PEERS, isHolder: () => true, onWritten: () => {} })
  const stored = new StoredReports({ table: table.viewFor(brand<InstanceId>(name)), written, log })
  const settled = async <Value>(promise: Promise<Value>): Promise<Value> => (await Promise.all([promise, clock.advance(seconds(3))]))[0]
  return {
    log,
    written,
    stored,
    load: () => settled(stored.load()),
    write: (...reports: readonly UsageReport[]) => settled(stored.write(reports))
  }
}

const countIn = (table: FaultyDutyTable, window: number): Json | undefined =>
  (table.row(`usage/${window}`).value as Readonly<Record<string, readonly Json[]>> | undefined)?.counts?.[1]

describe('StoredReports', () => {
  it('writes a window only if no other holder has, and then knows what is stored', async () => {
    const clock = new VirtualClock()
    const table = new FaultyDutyTable({ clock })
    const [first, second] = [setUp(table, clock, 'a'), setUp(table, clock, 'b')]
    await first.load()
    await second.load()
    expect(await first.write(reportOf(10, 7))).toBe(true)
    expect(await second.write(reportOf(10, 8), reportOf(11))).toBe(false)
    expect(second.stored.isLoaded).toBe(false)
    await second.load()
    expect([...second.stored.reports[0]!.report!.counts.values()]).toEqual([7])
    expect(table.row('usage/11').revision).toBe(0)
  })

  it('does not take a write without an answer for done, and finds it when it reads again', async () => {
    const clock = new VirtualClock()
    const table = new FaultyDutyTable({ clock })
    const holder = setUp(table, clock, 'a')
    await holder.load()
    table.lostAnswers = 1
    expect(await holder.write(reportOf(10, 7))).toBe(false)
    expect(holder.written.newest).toBeUndefined()
    await holder.load()
    expect(holder.stored.has(10)).toBe(true)
    expect(holder.written.newest).toBe(10)
  })

  it('writes copies again as they were after the store was restored, in the same transaction as new reports', async () => {
    const clock = new VirtualClock()
    const table = new FaultyDutyTable({ clock })
    const holder = setUp(table, clock, 'a')
    await holder.load()
    await holder.write(reportOf(10))
    const copy = table.copy()
    await holder.write(reportOf(11, 111))
    table.restore(copy)
    expect(await holder.write(reportOf(12))).toBe(false)
    await holder.load()
    expect(holder.stored.missing().map(({ window }) => window)).toEqual([11])
    expect(await holder.write(...holder.stored.missing(), reportOf(12))).toBe(true)
    expect(countIn(table, 11)).toBe(111)
  })

  it('notices a restore even where the store names no era', async () => {
    const clock = new VirtualClock()
    const table = new FaultyDutyTable({ clock, namesEra: false })
    const holder = setUp(table, clock, 'a')
    await holder.load()
    await holder.write(reportOf(10))
    const copy = table.copy()
    await holder.write(reportOf(11, 111))
    table.restore(copy)
    expect(await holder.write(reportOf(12))).toBe(false)
  })

  it('sends what may have been sent before, not what a late write put in its place after a restore', async () => {
    const clock = new VirtualClock()
    const table = new FaultyDutyTable({ clock, namesEra: false })
    const holder = setUp(table, clock, 'a')
    await holder.load()
    const copy = table.copy()
    table.lateCommits = 1
    table.lateBy = millis(20_000)
    await holder.write(reportOf(10, 5))
    await holder.load()
    await holder.write(reportOf(10, 7))
    table.restore(copy)
    await clock.advance(seconds(20))
    expect(countIn(table, 10)).toBe(5)
    await holder.load()
    expect([...holder.stored.reports[0]!.report!.counts.values()]).toEqual([7])
  })

  it('removes accepted reports of old windows in the transaction that writes a new one, and keeps those never accepted', async () => {
    const clock = new VirtualClock()
    const table = new FaultyDutyTable({ clock })
    const holder = setUp(table, clock, 'a')
    await holder.load()
    for (let window = 10; window < 30; window++) {
      await holder.write(reportOf(window))
      if (window < 25) holder.written.noteAccepted(window)
    }
    expect(holder.stored.reports.map(({ window }) => window)).toEqual([18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29])
    expect(table.rows).toHaveLength(12)
    const unaccepted = setUp(new FaultyDutyTable({ clock }), clock, 'b')
    await unaccepted.load()
    for (let window = 10; window < 30; window++) await unaccepted.write(reportOf(window))
    expect(unaccepted.stored.reports).toHaveLength(20)
  })

  it('names windows that are known to be written and are lost everywhere', async () => {
    const clock = new VirtualClock()
    const table = new FaultyDutyTable({ clock })
    const holder = setUp(table, clock, 'a')
    await holder.load()
    await holder.write(reportOf(10))
    const next = setUp(table, clock, 'b')
    next.written.noteWritten(13)
    await next.load()
    expect(next.stored.lost()).toEqual([11, 12, 13])
    expect(next.stored.missing()).toEqual([])
  })

  it('neither sends nor replaces a row that it cannot read', async () => {
    const clock = new VirtualClock()
    const table = new FaultyDutyTable({ clock })
    const writer = table.viewFor(brand<InstanceId>('x'))
    await Promise.all([
      writer.commit({ era: 0, expected: [], writes: [{ key: 'usage/10', value: null }] }), clock.advance(seconds(1))
    ])
    const holder = setUp(table, clock, 'a')
    await holder.load()
    expect(holder.log.records.map(({ kind }) => kind.name)).toEqual(['rowUnreadable'])
    expect(holder.written.newest).toBe(10)
    expect(holder.stored.reports[0]!.report).toBeUndefined()
    expect(await holder.write(reportOf(10))).toBe(false)
  })
})

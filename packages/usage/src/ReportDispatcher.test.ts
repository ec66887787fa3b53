import { brand, EventRecorder, millis, seconds, VirtualClock } from '@papayahill/common'
import type { InstanceId, WorkspaceId } from '@papayahill/common'
import { FaultyDutyTable } from '@papayahill/duties'
import type { DutyCallResult, FencingToken } from '@papayahill/duties'
import { describe, expect, it } from 'vitest'
import { MAX_REFUSALS } from './constants.js'
import { ReportDispatcher } from './ReportDispatcher.js'
import { StoredReports } from './StoredReports.js'
import type { UsageLease, UsageReport } from './types.js'
import { WrittenReports } from './WrittenReports.js'

const ACCEPTED: DutyCallResult = { kind: 'accepted' }

const reportOf = (window: number): UsageReport => ({ window, counts: new Map([[brand<WorkspaceId>('norte'), window]]) })

const setUp = async (answer: (window: number, call: number) => DutyCallResult) => {
  const clock = new VirtualClock()
  const log = new EventRecorder(clock)
  const written = new WrittenReports({
    peers: { entries: () => [], onEntry: () => {}, publish: () => {} }, isHolder: () => true, onWritten: () => {}
  })
  const table = new FaultyDutyTable({ clock }).viewFor(brand<InstanceId>('a'))
  const stored = new StoredReports({ table, written, log })
  const sent: UsageReport[] = []
  const lease: { isHeld: boolean } & UsageLease = {
    isHeld: true, holder: undefined, permit: () => 1 as FencingToken, onChange: () => {}
  }
  const channel = {
    send: (report: UsageReport) => {
      sent.push(report)
      return Promise.resolve(answer(report.window, sent.length))
    }
  }
  const dispatcher = new ReportDispatcher({ clock, lease, channel, stored, written, callSpan: millis(100), log })
  await Promise.all([stored.load().then(() => stored.write([10, 11, 12].map(reportOf))), clock.advance(seconds(1))])
  const runFor = async (span: number): Promise<void> => {
    for (let passed = 0; passed < span; passed += 100) {
      void dispatcher.run()
      await clock.advance(millis(100))
    }
  }
  return { sent, written, stored, dispatcher, lease, log, runFor, windows: () => sent.map(({ window }) => window) }
}

describe('ReportDispatcher', () => {
  it('sends the stored reports in order, each once if it is accepted', async () => {
    const { runFor, windows, written } = await setUp(() => ACCEPTED)
    await runFor(2000)
    expect(windows()).toEqual([10, 11, 12])
    expect(written.accepted).toBe(12)
  })

  it('repeats a report whose answer was lost, with the same content, before any later one', async () => {
    const { runFor, windows, sent } = await setUp((_window, call) => call <= 2 ? { kind: 'unknown', detail: 'lost' } : ACCEPTED)
    await runFor(3000)
    expect(windows()).toEqual([10, 10, 10, 11, 12])
    expect(sent[2]).toEqual(sent[0])
  })

  it('waits as long as the platform asks for', async () => {
    const { runFor, windows } = await setUp((_window, call) => call === 1 ? { kind: 'limited', retryAfter: seconds(2) } : ACCEPTED)
    await runFor(1900)
    expect(windows()).toEqual([10])
    await runFor(500)
    expect(windows()).toEqual([10, 10, 11, 12])
  })

  it('does not hold up later reports for one that is refused, and gives that up in the end', async () => {
    const { runFor, windows, written, log } = await setUp((window) => window === 10 ? { kind: 'refused', status: 400 } : ACCEPTED)
    await runFor(500)
    expect(windows().slice(0, 3)).toEqual([10, 11, 12])
    expect(written.accepted).toBeUndefined()
    await runFor(30_000)
    expect(windows().filter((window) => window === 10)).toHaveLength(MAX_REFUSALS)
    expect(written.accepted).toBe(12)
    expect(log.records.at(-1)?.kind.name).toBe('reportGivenUp')
  })

  it('sends nothing more once the lease is gone', async () => {
    const { runFor, windows, lease } = await setUp(() => ({ kind: 'unsent', detail: 'no permit' }))
    await runFor(100)
    lease.isHeld = false
    await runFor(3000)
    expect(windows()).toEqual([10])
  })
})

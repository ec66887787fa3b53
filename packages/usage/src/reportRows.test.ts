import { brand } from '@papayahill/common'
import type { WorkspaceId } from '@papayahill/common'
import type { DutyRow } from '@papayahill/duties'
import { describe, expect, it } from 'vitest'
import { reportsIn, rowsOf } from './reportRows.js'
import type { UsageReport } from './types.js'

const reportOf = (window: number, workspaces: number, name = 'workspace'): UsageReport => ({
  window, counts: new Map(Array.from({ length: workspaces }, (_none, at) => [brand<WorkspaceId>(`${name}-${at}`), at * 1_000_003]))
})

const stored = (report: UsageReport, accepted = -1): readonly DutyRow[] => rowsOf(report, accepted).map((row) => ({ ...row, revision: 7 }))

describe('rows of reports', () => {
  it('hold a report as it was written', () => {
    for (const report of [reportOf(5, 0), reportOf(6, 8), reportOf(7, 3, '__proto__')]) {
      const [read] = reportsIn(stored(report, 4))
      expect(read).toMatchObject({ window: report.window, accepted: 4, revision: 7 })
      expect([...read!.report!.counts]).toEqual([...report.counts])
    }
  })

  it('stay below 40 KB each; a larger report is split', () => {
    const report = reportOf(9, 5000, 'a-workspace-with-a-rather-long-name-ü')
    const rows = stored(report)
    expect(rows.length).toBeGreaterThan(3)
    for (const { value } of rows) expect(Buffer.byteLength(JSON.stringify(value))).toBeLessThan(40_000)
    const [read] = reportsIn([...rows].reverse())
    expect([...read!.report!.counts]).toEqual([...report.counts])
    expect(read!.keys).toHaveLength(rows.length)
  })

  it('that cannot be read or are incomplete are known as such, and others are served', () => {
    const [head] = stored(reportOf(9, 5000))
    const rows: readonly DutyRow[] = [
      head!,
      { key: 'usage/3', value: null, revision: 2 },
      { key: 'usage/4', value: { parts: 1, counts: ['a'] }, revision: 2 },
      { key: 'lease', value: {}, revision: 9 },
      { key: 'usage/x', value: {}, revision: 9 },
      ...stored(reportOf(10, 2))
    ]
    const read = reportsIn(rows)
    expect(read.map(({ window, report }) => [window, report !== undefined])).toEqual([[3, false], [4, false], [9, false], [10, true]])
  })
})

import { brand } from '@papayahill/common'
import type { Incarnation } from '@papayahill/common'
import type { RowKey } from '@papayahill/stores'
import { describe, expect, it } from 'vitest'
import { BackupDecoder } from './BackupDecoder.js'
import { BackupEncoder } from './BackupEncoder.js'
import type { BackupRow } from './backupFrame.js'
import type { PackedLine } from './LedgerLine.js'

const INCARNATION = brand<Incarnation>('a#1')
const rowsOf = (workspace: string, calls: number): readonly BackupRow[] => [{
  row: brand<RowKey>('cost/ledger/2027-01-04/a#1/0'),
  lines: [[workspace, 'guide', 'generate', 'assistant', 'needed', [0, calls, 1, 600, 3, 40, 4, 100, 5, 70, 9, 20, 10, 50]]]
}]

describe('BackupEncoder', () => {
  it('sends names in full until they are confirmed and as indexes after that', () => {
    const encoder = new BackupEncoder(INCARNATION, 0)
    const decoder = new BackupDecoder()
    const first = encoder.encode(rowsOf('norte', 1))
    expect(decoder.decode(first.frame)).toEqual({ incarnation: INCARNATION, rows: rowsOf('norte', 1) })
    expect(encoder.encode(rowsOf('norte', 2)).frame[2]).toEqual(first.frame[2])
    encoder.confirm(first.size)
    const later = encoder.encode(rowsOf('norte', 3)).frame
    expect(later[2]).toEqual([])
    expect(decoder.decode(later)).toEqual({ incarnation: INCARNATION, rows: rowsOf('norte', 3) })
  })

  it('sends the names of a lost frame again', () => {
    const encoder = new BackupEncoder(INCARNATION, 0)
    const decoder = new BackupDecoder()
    const first = encoder.encode(rowsOf('norte', 1))
    decoder.decode(first.frame)
    encoder.confirm(first.size)
    encoder.encode(rowsOf('sul', 1))
    expect(decoder.decode(encoder.encode(rowsOf('sul', 2)).frame)).toEqual({ incarnation: INCARNATION, rows: rowsOf('sul', 2) })
  })

  it('is not decoded by a peer that restarted or in a session of another incarnation', () => {
    const encoder = new BackupEncoder(INCARNATION, 0)
    encoder.confirm(encoder.encode(rowsOf('norte', 1)).size)
    const { frame } = encoder.encode(rowsOf('norte', 2))
    expect(new BackupDecoder().decode(frame)).toBeUndefined()
    const decoder = new BackupDecoder()
    decoder.decode(new BackupEncoder(brand<Incarnation>('a#2'), 0).encode(rowsOf('norte', 1)).frame)
    expect(decoder.decode(frame)).toBeUndefined()
  })

  it('preserves the cost of each hour if lines end in different hours', () => {
    const [row] = rowsOf('norte', 1)
    const id = ['sul', 'guide', 'generate', 'assistant', 'needed'] as const
    const other: PackedLine = [...id, [0, 1, 5, 30, 9, 30]]
    const free: PackedLine = ['sul', 'guide', 'rank', 'assistant', 'needed', [0, 2]]
    const rows: readonly BackupRow[] = [{ row: row!.row, lines: [...row!.lines, other, free] }]
    expect(new BackupDecoder().decode(new BackupEncoder(INCARNATION, 0).encode(rows).frame)?.rows).toEqual(rows)
  })

  it('is not decoded if the hours cost more than the line or an hour is invalid', () => {
    const [session, from, entries, hour, rows] = new BackupEncoder(INCARNATION, 0).encode(rowsOf('norte', 1)).frame
    const [row, [line]] = rows[0]!
    for (const bad of [[3, 71], [24, 1], [3]]) {
      const lines = [[...line!.slice(0, -2), ...bad]] as unknown as Array<NonNullable<typeof line>>
      expect(new BackupDecoder().decode([session, from, entries, hour, [[row, lines]]])).toBeUndefined()
    }
  })

  it('is not decoded if an index is unknown', () => {
    const [session, from, entries, hour, rows] = new BackupEncoder(INCARNATION, 0).encode(rowsOf('norte', 1)).frame
    expect(new BackupDecoder().decode([session, from, entries.slice(0, -1), hour, rows])).toBeUndefined()
  })
})

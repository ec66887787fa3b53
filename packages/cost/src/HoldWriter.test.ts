import { brand } from '@papayahill/common'
import type { Incarnation } from '@papayahill/common'
import type { RowKey } from '@papayahill/stores'
import { describe, expect, it } from 'vitest'
import { HoldReader } from './HoldReader.js'
import { HoldWriter } from './HoldWriter.js'
import type { PackedLine } from './LedgerLine.js'
import type { HeldRow } from './LedgerHolders.js'

const LIFE = brand<Incarnation>('a#1')
const rowsOf = (workspace: string, calls: number): readonly HeldRow[] => [{
  row: brand<RowKey>('cost/ledger/2027-01-04/a#1/0'),
  lines: [[workspace, 'guide', 'generate', 'assistant', 'needed', [0, calls, 1, 600, 3, 40, 4, 100, 5, 70, 9, 20, 10, 50]]]
}]

describe('HoldWriter', () => {
  it('sends names until they are confirmed and then as indexes', () => {
    const writer = new HoldWriter(LIFE, 0)
    const reader = new HoldReader()
    const first = writer.write(rowsOf('norte', 1))
    expect(reader.read(first.frame)).toEqual({ life: LIFE, rows: rowsOf('norte', 1) })
    expect(writer.write(rowsOf('norte', 2)).frame[2]).toEqual(first.frame[2])
    writer.confirm(first.size)
    const later = writer.write(rowsOf('norte', 3)).frame
    expect(later[2]).toEqual([])
    expect(reader.read(later)).toEqual({ life: LIFE, rows: rowsOf('norte', 3) })
  })

  it('loses no name with a lost frame', () => {
    const writer = new HoldWriter(LIFE, 0)
    const reader = new HoldReader()
    const first = writer.write(rowsOf('norte', 1))
    reader.read(first.frame)
    writer.confirm(first.size)
    writer.write(rowsOf('sul', 1))
    expect(reader.read(writer.write(rowsOf('sul', 2)).frame)).toEqual({ life: LIFE, rows: rowsOf('sul', 2) })
  })

  it('is not read by a holder that restarted or by a session of another life', () => {
    const writer = new HoldWriter(LIFE, 0)
    writer.confirm(writer.write(rowsOf('norte', 1)).size)
    const { frame } = writer.write(rowsOf('norte', 2))
    expect(new HoldReader().read(frame)).toBeUndefined()
    const reader = new HoldReader()
    reader.read(new HoldWriter(brand<Incarnation>('a#2'), 0).write(rowsOf('norte', 1)).frame)
    expect(reader.read(frame)).toBeUndefined()
  })

  it('keeps the cost of each hour where lines end in different hours', () => {
    const [row] = rowsOf('norte', 1)
    const id = ['sul', 'guide', 'generate', 'assistant', 'needed'] as const
    const other: PackedLine = [...id, [0, 1, 5, 30, 9, 30]]
    const free: PackedLine = ['sul', 'guide', 'rank', 'assistant', 'needed', [0, 2]]
    const rows: readonly HeldRow[] = [{ row: row!.row, lines: [...row!.lines, other, free] }]
    expect(new HoldReader().read(new HoldWriter(LIFE, 0).write(rows).frame)?.rows).toEqual(rows)
  })

  it('is not read where hours cost more than the line or are none of a day', () => {
    const [session, from, entries, hour, rows] = new HoldWriter(LIFE, 0).write(rowsOf('norte', 1)).frame
    const [row, [line]] = rows[0]!
    for (const bad of [[3, 71], [24, 1], [3]]) {
      const lines = [[...line!.slice(0, -2), ...bad]] as unknown as Array<NonNullable<typeof line>>
      expect(new HoldReader().read([session, from, entries, hour, [[row, lines]]])).toBeUndefined()
    }
  })

  it('is not read where an index is unknown', () => {
    const [session, from, entries, hour, rows] = new HoldWriter(LIFE, 0).write(rowsOf('norte', 1)).frame
    expect(new HoldReader().read([session, from, entries.slice(0, -1), hour, rows])).toBeUndefined()
  })
})

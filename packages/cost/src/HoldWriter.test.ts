import { brand } from '@papayahill/common'
import type { Incarnation } from '@papayahill/common'
import type { RowKey } from '@papayahill/platform'
import { describe, expect, it } from 'vitest'
import { HoldReader } from './HoldReader.js'
import { HoldWriter } from './HoldWriter.js'
import type { HeldRow } from './LedgerHolders.js'

const LIFE = brand<Incarnation>('a#1')
const rowsOf = (workspace: string, calls: number): readonly HeldRow[] => [{
  row: brand<RowKey>('cost/ledger/2027-01-04/a#1/0'),
  lines: [[workspace, 'guide', 'generate', 'assistant', 'needed', [0, calls, 1, 600, 2, 0, 3, 40, 4, 100, 5, 70, 9, 70]]]
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

  it('is not read where an index is unknown', () => {
    const [session, from, entries, rows] = new HoldWriter(LIFE, 0).write(rowsOf('norte', 1)).frame
    expect(new HoldReader().read([session, from, entries.slice(0, -1), rows])).toBeUndefined()
  })
})

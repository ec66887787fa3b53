import { brand } from '@papayahill/common'
import type { Incarnation, InstanceId, Json, WorkspaceId } from '@papayahill/common'
import type { GossipEntry } from '@papayahill/peers'
import { describe, expect, it } from 'vitest'
import type { UsageReport } from './types.js'
import { WrittenReports } from './WrittenReports.js'

const BACKUP = brand<Incarnation>('b@1')
const FROM = { id: brand<InstanceId>('a'), incarnation: brand<Incarnation>('a@1') }

const reportOf = (window: number): UsageReport => ({ window, counts: new Map([[brand<WorkspaceId>('norte'), window]]) })

const setUp = (isHolder: boolean, published: readonly Json[] = []) => {
  const listeners: Array<(entry: GossipEntry) => void> = []
  const sent: Json[] = []
  const entryOf = (value: Json): GossipEntry => ({ topic: 'report', key: 'usage', owner: FROM.id, incarnation: FROM.incarnation, sequence: 1, value })
  const newest: number[] = []
  const written = new WrittenReports({
    peers: {
      entries: () => published.map(entryOf),
      onEntry: (_topic, listener) => { listeners.push(listener) },
      publish: (_topic, _key, value) => { sent.push(value) }
    },
    isHolder: () => isHolder,
    onWritten: (window) => { newest.push(window) }
  })
  return { written, sent, newest, hear: (value: Json) => { for (const listener of listeners) listener(entryOf(value)) } }
}

describe('WrittenReports', () => {
  it('knows the newest written window from what was published before and after its start, and never an older one', () => {
    const { written, hear, newest } = setUp(false, [[20, 19], [5, 5]])
    expect([written.newest, written.accepted]).toEqual([20, 19])
    hear([22, 21])
    hear([21, 20])
    for (const malformed of [null, 7, [], ['x', 'y'], [-1, -1]] as const) hear(malformed)
    expect([written.newest, written.accepted]).toEqual([22, 21])
    expect(newest).toEqual([20, 22])
  })

  it('hands copies on to the backup, each until it is confirmed, and only on the holder', () => {
    const { written } = setUp(true)
    written.addCopy(reportOf(10))
    const part = written.next(BACKUP)!
    written.addCopy(reportOf(11))
    part.confirm()
    const next = written.next(BACKUP)!
    expect(next.body).toEqual([[11, ['norte', 11]]])
    next.confirm()
    expect(written.next(BACKUP)).toBeUndefined()
    const backup = setUp(false).written
    backup.receive(FROM, part.body)
    backup.receive(FROM, next.body)
    expect(backup.copies).toEqual([reportOf(10), reportOf(11)])
    expect(backup.next(BACKUP)).toBeUndefined()
  })

  it('tells an instance that takes over which windows are written, also where it has no copies itself', () => {
    const { written } = setUp(false, [[20, 19]])
    const next = setUp(true).written
    next.merge(written.exported())
    expect(next.newest).toBe(20)
    const withCopies = setUp(true).written
    withCopies.addCopy(reportOf(21))
    next.merge(withCopies.exported())
    expect(next.copies).toEqual([reportOf(21)])
    expect(next.newest).toBe(21)
  })

  it('keeps the first copy of a window, which may have been sent', () => {
    const { written } = setUp(true)
    written.addCopy(reportOf(10))
    written.addCopy({ window: 10, counts: new Map() })
    expect(written.copies).toEqual([reportOf(10)])
  })

  it('keeps copies of the last twelve windows, and older ones that were not accepted', () => {
    const { written } = setUp(true)
    for (let window = 1; window <= 20; window++) written.addCopy(reportOf(window))
    expect(written.copies).toHaveLength(20)
    written.noteAccepted(18)
    written.addCopy(reportOf(21))
    expect(written.copies.map(({ window }) => window)).toEqual([10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21])
  })

  it('rejects malformed sections', () => {
    const { written } = setUp(false)
    for (const body of [null, 7, [7], [['x', []]], [[1, ['norte']]]] as const) expect(() => written.receive(FROM, body)).toThrow()
    for (const exported of [null, 7, [[1, 1], 7], [[1, 1]]] as const) expect(() => written.merge(exported)).toThrow()
  })
})

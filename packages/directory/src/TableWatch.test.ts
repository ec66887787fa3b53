import type { Json } from '@papayahill/common'
import { EventRecorder, millis, SeededRandom, VirtualClock } from '@papayahill/common'
import { Result } from 'true-myth'
import { describe, expect, it } from 'vitest'
import { TableWatch } from './TableWatch.js'
import type { WatchedTable } from './TableWatch.js'
import type { TableError, TableRow, TableRows } from './types.js'

type Answer = Result<TableRows<Json>, TableError>

const rows = (revision: number, ...keys: readonly string[]): Answer =>
  Result.ok({ era: 1, revision, rows: keys.map((key) => ({ key, value: key, revision })) })
const failed = (kind: TableError['kind']): Answer => Result.err({ kind, detail: kind })

/** Watches a table that answers reads and polls from a script; the last answer repeats. */
const runWatch = async (script: readonly Answer[], span: number) => {
  const clock = new VirtualClock()
  const log = new EventRecorder(clock)
  const calls: string[] = []
  const seen: string[] = []
  const answers = [...script]
  const next = async (call: string): Promise<Answer> => {
    calls.push(call)
    await clock.sleep(millis(10))
    return answers.length > 1 ? answers.shift()! : answers[0]!
  }
  const table: WatchedTable = { name: 'things', read: () => next('read'), changes: (after) => next(`after ${after}`) }
  const note = (kind: string) => (changed: ReadonlyArray<TableRow<string>>, outage: number): void => {
    if (changed.some(({ key }) => key === 'odd')) throw new Error('odd')
    seen.push(`${kind} ${changed.map(({ key }) => key).join(' ')}${outage > 0 ? ' after an outage' : ''}`)
  }
  const listener = { replaced: note('all'), changed: note('some') }
  const watch = new TableWatch({ clock, random: new SeededRandom(1), log, table, decode: (_key, value) => String(value), listener })
  watch.start()
  await clock.advance(millis(span))
  watch.stop()
  return { calls, seen, names: log.records.map(({ kind }) => kind.name) }
}

describe('TableWatch', () => {
  it('reads the table once and polls for its changes from there', async () => {
    const { calls, seen } = await runWatch([rows(5, 'a', 'b'), rows(6, 'c'), rows(6)], 600)
    expect(calls.slice(0, 3)).toEqual(['read', 'after 5', 'after 6'])
    expect(seen).toEqual(['all a b', 'some c'])
  })

  it('reads the table again when the history is gone', async () => {
    const { calls, seen } = await runWatch([rows(5, 'a'), failed('history-gone'), rows(9, 'b'), rows(9)], 900)
    expect(calls.slice(0, 3)).toEqual(['read', 'after 5', 'read'])
    expect(seen).toEqual(['all a', 'all b'])
  })

  it('goes on polling after its listener has failed on a row', async () => {
    const { seen, names } = await runWatch([rows(5, 'a'), rows(6, 'odd'), rows(7, 'b'), rows(7)], 3000)
    expect(names).toContain('tablePollFailed')
    expect(seen).toEqual(['all a', 'some b'])
  })

  it('continues after an outage from its last revision, and reports the length of the outage', async () => {
    const { calls, seen, names } = await runWatch([rows(5, 'a'), failed('unavailable'), failed('unavailable'), rows(7, 'b'), rows(7)], 3000)
    expect(calls.slice(0, 4)).toEqual(['read', 'after 5', 'after 5', 'after 5'])
    expect(seen).toEqual(['all a', 'some b after an outage'])
    expect(names).toEqual(['tableChanged', 'tableLost', 'tableRegained', 'tableChanged'])
  })
})

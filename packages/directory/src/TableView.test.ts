import { millis, VirtualClock } from '@papayahill/common'
import type { Json } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { TableView } from './TableView.js'
import type { TableRow } from './types.js'

const ROW_TIME = millis(2000)
const REMOVAL_TIME = millis(9000)

const row = (key: string, value: Json | undefined, revision: number): TableRow<Json> => ({ key, value, revision })

/** Values that are numbers tell their order; others do not. */
const compareNumbers = (_key: string, left: Json, right: Json): number =>
  typeof left === 'number' && typeof right === 'number' ? left - right : 0

const rig = (...rows: ReadonlyArray<TableRow<Json>>) => {
  const clock = new VirtualClock()
  const retention = { rowTime: ROW_TIME, removalTime: REMOVAL_TIME }
  const newView = (): TableView => new TableView({ clock, retention, compare: compareNumbers })
  const view = newView()
  view.apply({ era: 1, after: undefined, revision: 10, rows })
  /** The table as it came back, and what is in force then. */
  const restore = (...stored: ReadonlyArray<TableRow<Json>>): ReadonlyMap<string, Json | undefined> => {
    const result = view.apply({ era: 2, after: undefined, revision: 7, rows: stored })
    return new Map('rows' in result ? result.rows.map(({ key, value }) => [key, value]) : [])
  }
  const changed = (...rows: ReadonlyArray<TableRow<Json>>): readonly string[] => {
    const [first] = rows
    const result = view.apply({ era: 2, after: first!.revision - 1, revision: rows.at(-1)!.revision, rows })
    return 'rows' in result ? result.rows.map(({ key }) => key) : []
  }
  return { clock, view, newView, restore, changed }
}

describe('TableView', () => {
  describe('when the store comes back from an older copy', () => {
    it('takes its rows though their revisions are lower', () => {
      expect(rig(row('a', 1, 9)).restore(row('a', 2, 7))).toEqual(new Map([['a', 2]]))
    })

    it('keeps rows that the copy lacks or has in an older or another state', () => {
      const { restore } = rig(row('a', 2, 9), row('b', 'new', 8), row('c', 'same', 1), row('d', 1, 10))
      expect(restore(row('a', 1, 5), row('b', 'old', 4), row('c', 'same', 1)))
        .toEqual(new Map<string, Json>([['a', 2], ['b', 'new'], ['c', 'same'], ['d', 1]]))
    })

    it('does not bring back rows that had been removed, unless they are newer', () => {
      const { view, restore } = rig(row('a', 1, 5), row('b', 1, 5))
      view.apply({ era: 1, after: 10, revision: 12, rows: [row('a', undefined, 11), row('b', undefined, 12)] })
      expect(restore(row('a', 1, 5), row('b', 2, 6))).toEqual(new Map([['b', 2]]))
    })

    it('remembers removals that a whole table showed', () => {
      const { view, restore } = rig(row('a', 1, 5), row('b', 1, 5))
      view.apply({ era: 1, after: undefined, revision: 12, rows: [row('b', 1, 5)] })
      expect([...restore(row('a', 1, 5), row('b', 1, 5)).keys()]).toEqual(['b'])
    })

    it('ignores what is still under way of the era before', () => {
      const { view, restore } = rig(row('a', 1, 9))
      restore(row('a', 1, 7))
      expect(view.apply({ era: 1, after: 10, revision: 11, rows: [row('a', 5, 11)] })).toEqual({ kind: 'outdated' })
      expect(view.compare({ era: 1, revision: 90, digest: 1, retained: 0 })).toBe('ahead')
    })

    it('asks for the whole table where changes of the new era arrive first', () => {
      expect(rig().view.apply({ era: 2, after: 10, revision: 11, rows: [row('a', 1, 11)] })).toEqual({ kind: 'gap' })
    })

    it('keeps what it retained through a second restore', () => {
      const { view, restore } = rig(row('a', 2, 9))
      restore(row('a', 1, 5))
      const again = view.apply({ era: 4, after: undefined, revision: 5, rows: [row('a', 1, 5)] })
      expect(again).toMatchObject({ kind: 'replaced', rows: [{ key: 'a', value: 2 }] })
    })
  })

  // Guards against thousands of removed rows of any size that fill the memory.
  it('remembers less of removed rows where they are large', () => {
    const { view, restore } = rig()
    const before = view.keptCount
    const text = 'x'.repeat(50_000)
    const rows = Array.from({ length: 200 }, (_none, at) => row(`large-${at}`, text, 11 + at))
    view.apply({ era: 1, after: 10, revision: 210, rows })
    view.apply({ era: 1, after: undefined, revision: 500, rows: [] })
    expect(view.keptCount - before).toBeLessThan(50)
    expect(view.keptCount).toBeGreaterThan(30)
    expect(restore(row('large-199', text, 4), row('other', 1, 5))).toEqual(new Map([['other', 1]]))
  })

  describe('what it retains', () => {
    it('yields to what the writer writes again, but not to an older state', () => {
      const { view, restore, changed } = rig(row('a', 3, 9), row('b', 'new', 9))
      restore(row('a', 1, 5), row('b', 'old', 5))
      expect(changed(row('a', 2, 8))).toEqual([])
      expect(changed(row('a', 3, 9), row('b', 'other', 10))).toEqual(['a', 'b'])
      expect(view.retainedCount).toBe(0)
    })

    it('yields to a removal', () => {
      const { restore, changed } = rig(row('a', 3, 9))
      restore(row('a', 1, 5))
      expect(changed(row('a', undefined, 8))).toEqual(['a'])
    })

    it('is released when its time is over, and the restored table is in force then', async () => {
      const { clock, view, restore } = rig(row('a', 3, 9), row('b', 1, 9))
      restore(row('a', 1, 5))
      expect(view.release()).toEqual([])
      await clock.advance(ROW_TIME)
      expect(view.release().map(({ key, value }) => [key, value])).toEqual([['a', 1], ['b', undefined]])
      expect(view.nextRelease).toBeUndefined()
    })

    it('does not come back with a later restore once it was released or removed', async () => {
      const { clock, view, restore, changed } = rig(row('a', 1, 9), row('b', 1, 9))
      restore()
      changed(row('a', undefined, 8))
      await clock.advance(ROW_TIME)
      view.release()
      expect(view.apply({ era: 3, after: undefined, revision: 9, rows: [row('a', 1, 9), row('b', 1, 9)] })).toMatchObject({ rows: [] })
    })

    it('is taken over by an instance that starts after the restore, and not by one that knew the era before', () => {
      const { view, newView, restore } = rig(row('a', 3, 9), row('b', 1, 9))
      restore(row('a', 1, 5))
      const late = newView()
      late.apply({ era: 2, after: undefined, revision: 7, rows: [row('a', 1, 5)] })
      const { retained } = view.summary!
      expect(late.shouldAskFor(retained)).toBe(true)
      expect(late.adopt(view.since(undefined)!).map(({ key, value }) => [key, value])).toEqual([['a', 3], ['b', 1]])
      expect([late.shouldAskFor(retained), late.summary?.retained]).toEqual([false, retained])
      expect(view.shouldAskFor(retained + 1)).toBe(false)
    })
  })
})

import { describe, expect, it } from 'vitest'
import { TableCopy } from './TableCopy.js'

const FIRST_REVISION = 10

const newCopy = (): TableCopy => {
  const copy = new TableCopy()
  copy.apply({ era: 1, after: undefined, revision: FIRST_REVISION, rows: [] })
  return copy
}

/** Applies one change to a row; undefined removes it. */
const change = (copy: TableCopy, key: string, value: string | undefined): void => {
  const after = copy.position!.revision
  copy.apply({ era: 1, after, revision: after + 1, rows: [{ key, value, revision: after + 1 }] })
}

describe('TableCopy', () => {
  it('does not keep the earlier contents of a row that changes again and again', () => {
    const copy = newCopy()
    for (let version = 1; version <= 300; version++) change(copy, 'config', `version ${version}`)
    expect(copy.recentCount).toBe(1)
    expect(copy.since({ era: 1, revision: FIRST_REVISION })?.rows).toEqual([{ key: 'config', value: 'version 300', revision: 310 }])
  })

  it('brings a copy at any earlier position to the same rows', () => {
    const source = newCopy()
    const behind = Array.from({ length: 1200 }, (_, step) => {
      const copy = newCopy()
      copy.apply(source.since(undefined)!)
      change(source, `row-${step * 7 % 500}`, step % 5 === 0 ? undefined : `value ${step}`)
      return copy
    })
    for (const copy of behind) {
      copy.apply(source.since(copy.position)!)
      expect([copy.position, copy.digest]).toEqual([source.position, source.digest])
    }
  })
})

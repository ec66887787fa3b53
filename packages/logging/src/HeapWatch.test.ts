import type { EventFields, EventKind } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { HeapWatch } from './HeapWatch.js'

const MEGABYTE = 1_048_576
const LIMIT = 200 * MEGABYTE

const watchUse = () => {
  const lines: Array<{ readonly name: string, readonly fields: EventFields | undefined }> = []
  let share = 0
  const watch = new HeapWatch({
    log: { emit: (kind: EventKind, fields?: EventFields) => { lines.push({ name: kind.name, fields }) } },
    read: () => ({ used: share * LIMIT, limit: LIMIT }),
    held: () => ({ requests: 7 })
  })
  const check = (next: number): void => {
    share = next
    watch.check()
  }
  return { lines, check }
}

describe('HeapWatch', () => {
  it('logs each share of the limit once, with what the process holds', () => {
    const { lines, check } = watchUse()
    for (const share of [0.2, 0.5, 0.55, 0.7, 0.66, 0.95]) check(share)
    expect(lines.map(({ fields }) => fields)).toEqual([
      { requests: 7, usedMb: 100, limitMb: 200 }, { requests: 7, usedMb: 140, limitMb: 200 }, { requests: 7, usedMb: 190, limitMb: 200 }
    ])
  })

  it('does not log again while the use goes up and down around a share', () => {
    const { lines, check } = watchUse()
    for (const share of [0.51, 0.45, 0.52, 0.41, 0.55]) check(share)
    expect(lines.map(({ name }) => name)).toEqual(['heapHigh'])
  })

  it('logs once that the use is well below the limit again, and the next rise', () => {
    const { lines, check } = watchUse()
    for (const share of [0.6, 0.3, 0.2, 0.6]) check(share)
    expect(lines.map(({ name }) => name)).toEqual(['heapHigh', 'heapNormal', 'heapHigh'])
  })
})

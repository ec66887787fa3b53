import { describe, expect, it } from 'vitest'
import { heldHeap } from './heldHeap.js'
import { TextCollector } from './TextCollector.js'

const PARTS = 500_000
/** Heap in bytes for each part of a few characters; appended to a string, each keeps 32 beside its characters. */
const MAX_PART_COST = 16

describe('TextCollector', () => {
  it('gives the text in order, whenever it is asked for, with characters that two parts share', () => {
    const collector = new TextCollector('a')
    collector.add('b\ud83d')
    expect(collector.length).toBe(3)
    collector.add('\ude00')
    expect(collector.text()).toBe('ab\u{1f600}')
    for (let at = 0; at < 3000; at++) collector.add(`${at},`)
    expect(collector.text()).toBe(`ab\u{1f600}${Array.from({ length: 3000 }, (_none, at) => `${at},`).join('')}`)
    expect(collector.length).toBe(collector.text().length)
  })

  // Guards against a stream of tiny parts that fills the heap.
  it('keeps little more than the characters of many short parts', () => {
    const collector = new TextCollector()
    const before = heldHeap()
    for (let at = 0; at < PARTS; at++) collector.add(String(at % 1000))
    expect(heldHeap() - before).toBeLessThan(PARTS * MAX_PART_COST)
    expect(collector.length).toBeGreaterThan(PARTS)
  })
})

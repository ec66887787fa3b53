import { heldHeap } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { MAX_BYTES_WITHOUT_EVENT } from './constants.js'
import { EventReader } from './EventReader.js'

const PARTS = 500_000

const feedBytewise = (reader: EventReader, text: string): boolean => [...Buffer.from(text)].every((byte) => reader.feed(Buffer.of(byte)))

describe('EventReader', () => {
  // Guards against a line in parts of a byte, each of which would be kept by itself.
  it('keeps a line that is not complete in little more memory than its bytes', () => {
    const reader = new EventReader(() => true)
    const part = Buffer.from('x')
    reader.feed(Buffer.from('data: '))
    const before = heldHeap()
    for (let at = 0; at < PARTS; at++) reader.feed(part)
    expect(heldHeap() - before).toBeLessThan(PARTS)
    expect(reader.feed(Buffer.alloc(MAX_BYTES_WITHOUT_EVENT))).toBe(false)
  })

  it.each(['\n', '\r\n', '\r'])('reads events that come byte by byte, with %j at the ends of lines', (end) => {
    const events: string[] = []
    const reader = new EventReader(({ id, data }) => {
      events.push(`${id}: ${data}`)
      return true
    })
    feedBytewise(reader, ['id: 1', 'data: größer', '', ': comment', 'id: 2', 'data: a', 'data: b', '', ': end', ''].join(end))
    expect(events).toEqual(['1: größer', '2: a\nb'])
  })
})

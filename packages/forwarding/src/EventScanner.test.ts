import { describe, expect, it } from 'vitest'
import { EventScanner } from './EventScanner.js'

/** The pieces that the scanner returns, and the ids of all complete events. */
const feed = (scanner: EventScanner, bytes: string | Buffer, accepts = (_id: string | undefined): boolean => true) => {
  const ids: Array<string | undefined> = []
  const pieces = scanner.feed(Buffer.from(bytes), (id) => {
    ids.push(id)
    return accepts(id)
  })
  return { ids, pieces: pieces.map((piece) => piece.toString()) }
}

describe('EventScanner', () => {
  it('returns complete events byte for byte, however the chunks are split', () => {
    const scanner = new EventScanner()
    expect(feed(scanner, 'id: 1\nda')).toEqual({ ids: [], pieces: [] })
    expect(feed(scanner, 'ta: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3')).toEqual({
      ids: ['1', '2'], pieces: ['id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n']
    })
    expect(scanner.hasPartialEvent).toBe(true)
  })

  it('accepts any bytes, including invalid UTF-8', () => {
    const scanner = new EventScanner()
    const bytes = Buffer.from([0x69, 0x64, 0x3a, 0x37, 0x0a, 0xff, 0xfe, 0x0a, 0x0a])
    const ids: Array<string | undefined> = []
    expect(scanner.feed(bytes, (id) => ids.push(id) > 0)).toEqual([bytes])
    expect(ids).toEqual(['7'])
    expect(scanner.hasPartialEvent).toBe(false)
  })

  it('finds the same events in chunks of a byte as in one chunk', () => {
    const text = 'id: 1\ndata: a\n\n\n\nid:2\r\n\r\n:\n\nevent: x\nid: 3\r\ndata: b\n\r\n'
    const whole = feed(new EventScanner(), text)
    const scanner = new EventScanner()
    const parts = [...text].map((part) => feed(scanner, part))
    expect(whole.ids).toEqual(['1', undefined, '2', undefined, '3'])
    expect(parts.flatMap(({ ids }) => ids)).toEqual(whole.ids)
    expect(parts.flatMap(({ pieces }) => pieces).join('')).toBe(text)
    expect(whole.pieces).toEqual([text])
  })

  it('leaves out the events that the filter does not accept, and nothing else', () => {
    const events = ['1', '2', '3', '4', '5'].map((id) => `id: ${id}\ndata: d${id}\n\n`)
    const { pieces } = feed(new EventScanner(), events.join(''), (id) => id !== '1' && id !== '3')
    expect(pieces).toEqual([events[1], `${events[3]}${events[4]}`])
  })

  // Guards against a process that runs out of heap, since each piece costs hundreds of bytes until it is written.
  it('returns one piece for thousands of events of a few bytes', () => {
    const text = '\n\n'.repeat(5000) + 'data: x\n\n'.repeat(5000)
    const { ids, pieces } = feed(new EventScanner(), text)
    expect(ids).toHaveLength(10_000)
    expect(pieces).toEqual([text])
  })
})

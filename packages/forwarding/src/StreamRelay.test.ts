import { VirtualClock } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { EventScanner } from './EventScanner.js'
import { StreamRelay } from './StreamRelay.js'
import type { CallerSink } from './types.js'

/** Records what the caller receives. */
const sinkOf = (got: string[]): CallerSink => ({
  answer: () => { got.push('answer') },
  start: (status, headers) => { got.push(`start ${status} ${headers.join('=')}`) },
  write: (chunk) => { got.push(chunk.toString()) },
  end: () => { got.push('end') },
  cut: () => { got.push('cut') },
  fail: () => { got.push('fail') },
  abandon: () => { got.push('abandon') }
})

const textOf = (id: number): string => `id: ${id}\ndata: e${id}\n\n`

const relayOf = (resumeAfter?: string) => {
  const got: string[] = []
  const relay = new StreamRelay(new VirtualClock(), sinkOf(got), resumeAfter)
  const event = (id: number): number => relay.forward(new EventScanner(), Buffer.from(textOf(id)))
  return { relay, got, event }
}

describe('StreamRelay', () => {
  it('sends headers with the first event, so that a stream that breaks earlier can start at another endpoint', () => {
    const { relay, got, event } = relayOf()
    relay.start(200, ['seal', 'first'])
    expect(got).toEqual([])
    relay.start(200, ['seal', 'second'])
    event(1)
    relay.end()
    expect(got).toEqual(['start 200 seal=second', textOf(1), 'end'])
  })

  it('resumes at another endpoint under the first headers, with no event lost or duplicated', () => {
    const { relay, got, event } = relayOf()
    relay.start(200, ['seal', 'first'])
    for (const id of [1, 2]) event(id)
    expect(relay.resumeAfter).toBe('2')
    relay.start(200, ['seal', 'second'])
    for (const id of [2, 3]) event(id)
    expect(got).toEqual(['start 200 seal=first', textOf(1), textOf(2), textOf(3)])
  })

  it('starts after the last event that the caller has of a stream that it resumes', () => {
    const { relay, got, event } = relayOf('12')
    relay.start(200, [])
    for (const id of [12, 13]) event(id)
    expect(got).toEqual(['start 200 ', textOf(13)])
  })

  it('leaves out the events of a chunk that the caller already has', () => {
    const { relay, got } = relayOf('2')
    relay.start(200, [])
    expect(relay.forward(new EventScanner(), Buffer.from([1, 2, 3, 4].map(textOf).join('')))).toBe(4)
    expect(relay.events).toBe(2)
    expect(got).toEqual(['start 200 ', `${textOf(3)}${textOf(4)}`])
  })
})

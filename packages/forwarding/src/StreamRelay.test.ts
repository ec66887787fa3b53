import { VirtualClock } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
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

const eventOf = (id: number): { readonly bytes: Buffer, readonly id: string } => ({ bytes: Buffer.from(`e${id}`), id: `${id}` })

const relayOf = (resumeAfter?: string): { readonly relay: StreamRelay, readonly got: string[] } => {
  const got: string[] = []
  return { relay: new StreamRelay(new VirtualClock(), sinkOf(got), resumeAfter), got }
}

describe('StreamRelay', () => {
  it('sends headers with the first event, so that a stream that breaks earlier can start at another endpoint', () => {
    const { relay, got } = relayOf()
    relay.start(200, ['seal', 'first'])
    expect(got).toEqual([])
    relay.start(200, ['seal', 'second'])
    relay.event(eventOf(1))
    relay.end()
    expect(got).toEqual(['start 200 seal=second', 'e1', 'end'])
  })

  it('resumes at another endpoint under the first headers, with no event lost or duplicated', () => {
    const { relay, got } = relayOf()
    relay.start(200, ['seal', 'first'])
    for (const id of [1, 2]) relay.event(eventOf(id))
    expect(relay.resumeAfter).toBe('2')
    relay.start(200, ['seal', 'second'])
    for (const id of [2, 3]) relay.event(eventOf(id))
    expect(got).toEqual(['start 200 seal=first', 'e1', 'e2', 'e3'])
  })

  it('starts after the last event that the caller has of a stream that it resumes', () => {
    const { relay, got } = relayOf('12')
    relay.start(200, [])
    for (const id of [12, 13]) relay.event(eventOf(id))
    expect(got).toEqual(['start 200 ', 'e13'])
  })
})

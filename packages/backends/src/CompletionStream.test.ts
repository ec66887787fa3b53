import { brand, heldHeap } from '@papayahill/common'
import type { RequestId, StageId } from '@papayahill/common'
import type { StageCall, StageChunk } from '@papayahill/endpoints'
import { describe, expect, it } from 'vitest'
import { CompletionStream } from './CompletionStream.js'
import { MAX_STREAM } from './constants.js'

const EVENTS_PER_PART = 500
const PARTS = 400
/** Heap in bytes that a stream may keep for each chunk of a character. */
const MAX_CHUNK_COST = 8

const CALL = { id: { request: brand<RequestId>('r'), stage: brand<StageId>('s'), attempt: 1 } } as StageCall

const eventOf = (text: string): string => `data: ${JSON.stringify({ id: 'r/s/1', choices: [{ text }] })}\n\n`

describe('CompletionStream', () => {
  // Guards against a stream without end, each of whose chunks counts as progress and stays in memory.
  it.each([['a line', 256], ['a kilobyte', 1024]])('takes a bounded number of chunks of %s', (_size, length) => {
    const chunks: StageChunk[] = []
    const stream = new CompletionStream(CALL, (chunk) => chunks.push(chunk))
    const part = Buffer.from(eventOf('x'.repeat(length)).repeat(EVENTS_PER_PART))
    const taken = Array.from({ length: PARTS }).findIndex(() => !stream.feed(part))
    expect(taken).toBeGreaterThan(0)
    expect(chunks.length).toBeLessThanOrEqual(MAX_STREAM / length + EVENTS_PER_PART)
  })

  // Guards against the same in chunks of a character, each of which kept 32 bytes.
  it('keeps little more than the characters of many tiny chunks', () => {
    const stream = new CompletionStream(CALL, () => {})
    const part = Buffer.from(eventOf('x').repeat(EVENTS_PER_PART))
    stream.feed(part)
    const before = heldHeap()
    for (let at = 0; at < PARTS; at++) stream.feed(part)
    expect(heldHeap() - before).toBeLessThan(PARTS * EVENTS_PER_PART * MAX_CHUNK_COST)
    expect(stream.feed(part)).toBe(true)
  })

  // Guards against a long answer of small chunks that is cut, also where it resumes, and blamed on one endpoint after another.
  it.each([['begins', undefined], ['resumes', { chunks: 66_000, text: ' token'.repeat(66_000) }]])('takes a stream of 100,000 tokens that %s', (_how, resume) => {
    let last = ''
    const stream = new CompletionStream({ ...CALL, resume } as StageCall, ({ text }) => { last = text })
    const part = Buffer.from(eventOf(' token').repeat(EVENTS_PER_PART))
    expect(Array.from({ length: 200 }).every(() => stream.feed(part))).toBe(true)
    expect(last).toBe(' token')
  })

  it('takes an answer of many thousand tokens', () => {
    const stream = new CompletionStream(CALL, () => {})
    const part = Buffer.from(eventOf(' token').repeat(EVENTS_PER_PART))
    expect(Array.from({ length: 64 }).every(() => stream.feed(part))).toBe(true)
  })
})

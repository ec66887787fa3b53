import { brand, ITEM_COST } from '@papayahill/common'
import type { RequestId, StageId } from '@papayahill/common'
import type { StageCall, StageChunk } from '@papayahill/endpoints'
import { describe, expect, it } from 'vitest'
import { CompletionStream } from './CompletionStream.js'
import { MAX_STREAM } from './constants.js'

const EVENTS_PER_PART = 500
const PARTS = 400

const CALL = { id: { request: brand<RequestId>('r'), stage: brand<StageId>('s'), attempt: 1 } } as StageCall

const eventOf = (text: string): string => `data: ${JSON.stringify({ id: 'r/s/1', choices: [{ text }] })}\n\n`

describe('CompletionStream', () => {
  // Guards against a stream of tiny chunks without end, each of which counts as progress and stays in memory.
  it.each([['of a character', 'x'], ['of a kilobyte', 'x'.repeat(1024)]])('takes a bounded number of chunks %s', (_size, text) => {
    const chunks: StageChunk[] = []
    const stream = new CompletionStream(CALL, (chunk) => chunks.push(chunk))
    const part = Buffer.from(eventOf(text).repeat(EVENTS_PER_PART))
    const taken = Array.from({ length: PARTS }).findIndex(() => !stream.feed(part))
    expect(taken).toBeGreaterThan(0)
    expect(chunks.length).toBeLessThanOrEqual(MAX_STREAM / (ITEM_COST + text.length) + EVENTS_PER_PART)
  })

  it('takes an answer of many thousand tokens', () => {
    const stream = new CompletionStream(CALL, () => {})
    const part = Buffer.from(eventOf(' token').repeat(EVENTS_PER_PART))
    expect(Array.from({ length: 64 }).every(() => stream.feed(part))).toBe(true)
  })
})

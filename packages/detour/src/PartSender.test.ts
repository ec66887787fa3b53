import { describe, expect, it } from 'vitest'
import { MAX_UNCONFIRMED_PARTS, PART_BYTES } from './constants.js'
import { PartSender } from './PartSender.js'
import type { Part } from './types.js'

const BYTES = 4 * PART_BYTES

const dataOf = (parts: readonly Part[]): string => Buffer.concat(parts.flatMap((part) => part.kind === 'data' ? [part.bytes] : [])).toString()

/** Pushes data byte by byte, and confirms nothing until all is pushed. */
const sendBytewise = (data: string): readonly Part[] => {
  const sent: Part[] = []
  const sender = new PartSender((_number, part) => sent.push(part))
  sender.push({ kind: 'head', status: 200, headers: [], isStream: true })
  for (const byte of Buffer.from(data)) sender.push({ kind: 'data', bytes: Buffer.of(byte) })
  sender.push({ kind: 'end' })
  while (!sender.isEmpty) sender.confirm(sent.length)
  return sent
}

describe('PartSender', () => {
  const data = Array.from({ length: BYTES }, (_none, at) => String.fromCharCode(97 + at % 26)).join('')

  // Guards against a queue of parts of a few bytes each, whose objects take far more memory than the bytes that are counted.
  it('holds back data of single bytes in parts of full size', () => {
    const full = Math.ceil(BYTES / PART_BYTES)
    expect(sendBytewise(data).length).toBeLessThanOrEqual(MAX_UNCONFIRMED_PARTS + full + 1)
  })

  it('sends all of it in order, and the end behind it', () => {
    const sent = sendBytewise(data)
    expect(dataOf(sent)).toBe(data)
    expect(sent.at(-1)).toEqual({ kind: 'end' })
  })

  it('counts the bytes that it holds back, joined or not', () => {
    const sent: Part[] = []
    const sender = new PartSender((_number, part) => sent.push(part))
    for (let at = 0; at < MAX_UNCONFIRMED_PARTS + 100; at++) sender.push({ kind: 'data', bytes: Buffer.alloc(3) })
    expect(sender.queuedBytes).toBe(300)
    sender.confirm(sent.length)
    expect(sender.queuedBytes).toBe(0)
  })
})

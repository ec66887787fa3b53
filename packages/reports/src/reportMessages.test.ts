import { epochMillis, millis } from '@papayahill/common'
import type { Json } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { messageSize } from './messageSize.js'
import { decodeReply, decodeReport, encodeReply, encodeReport } from './reportMessages.js'

describe('messages of reports', () => {
  it('survive their encoding', () => {
    const report = { wall: epochMillis(1_800_000_000_000), sections: [{ name: 'usage', body: [1, 2] }, { name: 'load', body: { a: 1 } }] }
    expect(decodeReport(encodeReport(report))).toEqual(report)
    expect(decodeReply(encodeReply({ isStored: true, ahead: millis(-30) }))).toEqual({ isStored: true, ahead: -30 })
    expect(decodeReply(encodeReply({ isStored: true }))).toEqual({ isStored: true })
    expect(decodeReply(encodeReply({ isStored: false, ahead: millis(5) }))).toEqual({ isStored: false })
  })

  it('are told from malformed ones', () => {
    const malformed: readonly Json[] = [null, 7, 'x', {}, [], ['x'], [1, 'usage'], [1, 2, 3], [Number.NaN], [null, 'usage', 1]]
    for (const message of malformed) expect(decodeReport(message)).toBeUndefined()
    for (const reply of [null, 'x', [], {}] as const) expect(decodeReply(reply).isStored).toBe(false)
  })

  it('are measured as msgpack encodes them', () => {
    expect(messageSize([1, 200, 60_000, 100_000, 1.5, 'abc', null, true])).toBe(1 + 1 + 2 + 3 + 5 + 9 + 4 + 1 + 1)
    expect(messageSize({ a: [] })).toBe(1 + 2 + 1)
  })
})

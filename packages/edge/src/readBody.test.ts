import { heldHeap, MAX_JSON_ITEMS } from '@papayahill/common'
import { EventEmitter } from 'node:events'
import type { IncomingMessage } from 'node:http'
import { describe, expect, it } from 'vitest'
import { readBody } from './readBody.js'

const PARTS = 200_000

/** A request whose body the test sends. */
const newRequest = (): IncomingMessage =>
  Object.assign(new EventEmitter(), { headers: { 'content-type': 'application/json' } }) as unknown as IncomingMessage

describe('readBody', () => {
  // Guards against a body in parts of a byte, each of which would be kept by itself.
  it('keeps a body that is not complete in little more memory than its bytes', async () => {
    const req = newRequest()
    const body = readBody(req, PARTS + 2)
    const before = heldHeap()
    req.emit('data', Buffer.from('"'))
    for (let at = 0; at < PARTS; at++) req.emit('data', Buffer.from('x'))
    expect(heldHeap() - before).toBeLessThan(PARTS)
    req.emit('data', Buffer.from('"'))
    req.emit('end')
    expect((await body).map(({ json }) => json).unwrapOr(null)).toBe('x'.repeat(PARTS))
  })

  // Guards against a body that takes more than twenty times its bytes once it is parsed.
  it('refuses a body of very many short items', async () => {
    const req = newRequest()
    const text = `[${'{},'.repeat(MAX_JSON_ITEMS)}{}]`
    const body = readBody(req, text.length)
    req.emit('data', Buffer.from(text))
    req.emit('end')
    expect((await body).match({ Ok: () => 'taken', Err: ({ kind }) => kind })).toBe('bad-request')
  })

  it('keeps nothing beyond the limit', async () => {
    const req = newRequest()
    const body = readBody(req, 3)
    for (const part of ['"x', 'x', '"', '"']) req.emit('data', Buffer.from(part))
    req.emit('end')
    expect((await body).map(({ json }) => json)).toMatchObject({ isErr: true, error: { kind: 'body-too-large' } })
  })
})

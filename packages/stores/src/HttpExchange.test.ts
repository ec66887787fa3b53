import { EndlessSender, millis, seconds, SILENT_LOG, SystemClock } from '@papayahill/common'
import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { MAX_RESPONSE } from './constants.js'
import { HttpExchange } from './HttpExchange.js'

/** The largest response and what the sockets of both sides may hold. */
const MAX_SENT = 2 * MAX_RESPONSE
const TIMEOUT = seconds(20)
const MAX_TIME = millis(8000)

describe('HttpExchange', () => {
  let server: Server | undefined
  let exchange: HttpExchange | undefined

  afterEach(async () => {
    await exchange?.close()
    server?.close()
  })

  // Guards against a platform that is read, and kept, for as long as it sends.
  it('ends a response that is larger than any sound one', async () => {
    const sender = new EndlessSender('HTTP/1.1 200 OK\r\n\r\n', 'x')
    server = createServer((socket) => {
      socket.on('error', () => {})
      socket.once('data', () => sender.send(socket))
    })
    await new Promise<void>((resolve) => server!.listen(0, '127.0.0.1', resolve))
    const origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
    exchange = new HttpExchange({ origin, clock: new SystemClock(), log: SILENT_LOG, timeout: TIMEOUT })
    const startedAt = performance.now()
    const result = await exchange.send({ method: 'GET', path: '/v1/rows' })
    expect(result.isErr && result.error.kind).toBe('lost')
    expect(sender.sentBytes).toBeLessThan(MAX_SENT)
    expect(performance.now() - startedAt).toBeLessThan(MAX_TIME)
  }, 30_000)
})

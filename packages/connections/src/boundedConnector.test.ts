import { bytes, EndlessSender } from '@papayahill/common'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { Pool } from 'undici'
import { afterEach, describe, expect, it } from 'vitest'
import { boundedConnector } from './boundedConnector.js'

const MAX_ANSWER = bytes(1_048_576)
/** The maximum and what the sockets of both sides may hold. */
const MAX_SENT = 16 * MAX_ANSWER
const MAX_MILLIS = 2000

describe('boundedConnector', () => {
  let server: Server | undefined
  let pool: Pool | undefined

  afterEach(async () => {
    await pool?.destroy()
    server?.close()
  })

  const poolBefore = async (onRequest: (socket: Socket) => void): Promise<Pool> => {
    server = createServer((socket) => {
      socket.on('error', () => {})
      socket.on('data', () => onRequest(socket))
    })
    await new Promise<void>((resolve) => server!.listen(0, '127.0.0.1', resolve))
    const { port } = server.address() as AddressInfo
    pool = new Pool(`http://127.0.0.1:${port}`, { connections: 1, connect: boundedConnector(MAX_ANSWER) })
    return pool
  }

  const textOf = async (from: Pool): Promise<string> => {
    const { body } = await from.request({ method: 'GET', path: '/' })
    return await body.text()
  }

  describe('an answer without end', () => {
    // Guards against a caller that reads on for as long as the other side sends, whichever part of the answer it sends.
    it.each([
      ['a body', 'HTTP/1.1 200 OK\r\n\r\n', 'x'],
      ['interim answers', '', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
      ['a reason', 'HTTP/1.1 200 ', 'x'],
      ['the extension of a chunk', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;', 'x']
    ])('fails once it is too large: %s', async (_what, start, filler) => {
      const sender = new EndlessSender(start, filler)
      const from = await poolBefore((socket) => sender.send(socket))
      const startedAt = performance.now()
      await expect(textOf(from)).rejects.toThrow()
      expect(sender.sentBytes).toBeLessThan(MAX_SENT)
      expect(performance.now() - startedAt).toBeLessThan(MAX_MILLIS)
    }, 10_000)
  })

  describe('a connection that is refused', () => {
    // Guards against a call that never ends, since the connector fails by itself.
    it('fails the request', async () => {
      const from = await poolBefore(() => {})
      await new Promise((resolve) => server!.close(resolve))
      await expect(textOf(from)).rejects.toThrow('ECONNREFUSED')
    }, 5000)
  })

  describe('answers on a connection that is kept', () => {
    it('are each measured by themselves', async () => {
      const body = 'x'.repeat(MAX_ANSWER / 2)
      const from = await poolBefore((socket) => {
        socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`)
      })
      for (let at = 0; at < 5; at++) expect((await textOf(from)).length).toBe(body.length)
    })
  })
})

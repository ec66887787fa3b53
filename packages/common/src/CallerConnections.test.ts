import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { CallerConnections } from './CallerConnections.js'
import { SystemClock } from './SystemClock.js'

/** Milliseconds in which a request's header and its whole body must arrive, and in which a request is answered. */
const HEADER_TIMEOUT = 200
const BODY_TIMEOUT = 300
const WORK = 150
/** Milliseconds after which a connection has said all that it will say. */
const SETTLED = 700

const sleep = (span: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, span))

describe('CallerConnections', () => {
  const clock = new SystemClock()
  let server: Server | undefined
  let served: string[] = []

  afterEach(() => {
    server?.closeAllConnections()
    server?.close()
    served = []
  })

  /** Connects to a server that serves whole requests and answers 408 to late ones and 400 to malformed bytes. */
  const open = async (): Promise<{ readonly socket: Socket, readonly received: () => string }> => {
    const connections = new CallerConnections(clock)
    const options = { headersTimeout: HEADER_TIMEOUT, requestTimeout: BODY_TIMEOUT, connectionsCheckingInterval: 20 }
    server = createServer(options, (req, res) => {
      if (!connections.accept(req, res)) return
      req.on('error', () => {})
      req.resume().on('end', () => {
        served.push(req.url!)
        setTimeout(() => res.end('done'), WORK)
      })
    })
    server.on('clientError', (err: NodeJS.ErrnoException, socket) => {
      const status = err.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? 408 : 400
      if (socket.writable) connections.refuse(socket as Socket, `HTTP/1.1 ${status} Refused\r\nConnection: close\r\n\r\n`)
    })
    await new Promise<void>((resolve) => server!.listen(0, '127.0.0.1', resolve))
    const socket = connect({ host: '127.0.0.1', port: (server.address() as AddressInfo).port, allowHalfOpen: true })
    let text = ''
    socket.on('data', (part: Buffer) => { text += part.toString() }).on('error', () => {})
    return { socket, received: () => text }
  }

  describe('a request that is answered 408', () => {
    // Guards against a request that runs though its caller was told that it has not run and never will.
    it.each([
      ['its header', 'POST /late HTTP/1.1\r\nHost: a\r\n', 'Content-Length: 2\r\n\r\nok'],
      ['its body', 'POST /late HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n', 'ok']
    ])('is not served when the rest of %s arrives', async (_what, first, rest) => {
      const { socket, received } = await open()
      socket.write(first)
      while (!received().includes('408')) await sleep(10)
      socket.write(rest)
      await sleep(SETTLED)
      expect(served).toEqual([])
      expect(received().match(/HTTP\/1.1/g)).toHaveLength(1)
    })
  })

  describe('malformed bytes after a request that is being served', () => {
    // Guards against an error answer that is taken for the answer to the request before.
    it('end the connection after the answer to that request', async () => {
      const { socket, received } = await open()
      socket.write('GET /first HTTP/1.1\r\nHost: a\r\n\r\nno request\r\n\r\n')
      await sleep(SETTLED)
      expect(served).toEqual(['/first'])
      expect(received()).toMatch(/^HTTP\/1.1 200 [^]*connection: close[^]*done/i)
      expect(received()).not.toContain('400')
    })
  })
})

import { EndlessSender } from '@papayahill/common'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { MAX_ANSWER_FIELDS, MAX_INTERIM_ANSWERS } from './constants.js'
import { EndpointSocket, newStopper } from './EndpointSocket.js'
import type { SocketAnswer } from './EndpointSocket.js'

const REQUEST = { method: 'GET', path: '/', headers: {} }

/** Starts a server that calls `answer` after the first bytes of each connection. */
const serve = async (answer: (socket: Socket) => void): Promise<{ readonly server: Server, readonly origin: string }> => {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => answer(socket))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return { server, origin: `http://127.0.0.1:${(server.address() as AddressInfo).port}` }
}

interface Received {
  readonly isOk: boolean
  readonly body: string
}

const exchange = async (origin: string, onStart: (answer: SocketAnswer) => void): Promise<Received> => {
  const socket = new EndpointSocket(origin)
  const parts: Buffer[] = []
  const result = await socket.exchange(REQUEST, { onStart, onData: (data) => { parts.push(data) } }, newStopper())
  socket.close()
  return { isOk: result.isOk, body: Buffer.concat(parts).toString() }
}

describe('EndpointSocket', () => {
  let server: Server | undefined

  afterEach(() => { server?.close() })

  const answered = async (answer: (socket: Socket) => void, onStart: (answer: SocketAnswer) => void = () => {}): Promise<Received> => {
    const served = await serve(answer)
    server = served.server
    return await exchange(served.origin, onStart)
  }

  describe('an answer without a length', () => {
    it('is complete when its connection has an orderly end', async () => {
      const end = await answered((socket) => socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole'))
      expect(end).toEqual({ isOk: true, body: 'whole' })
    })

    it('is not complete when its connection is reset', async () => {
      const end = await answered((socket) => {
        socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nha', () => setTimeout(() => socket.resetAndDestroy(), 20))
      })
      expect(end.isOk).toBe(false)
    })
  })

  describe('an answer without a length whose connection is reset with its last bytes', () => {
    it('is not complete, though the end arrives without an error', async () => {
      const end = await answered((socket) => {
        socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nha')
        socket.resetAndDestroy()
      })
      expect(end.isOk).toBe(false)
    })
  })

  describe('an answer with many short fields in its head', () => {
    const answerWith = (count: number) => (socket: Socket): void => {
      const fields = Array.from({ length: count - 1 }, (_none, at) => `${at.toString(36)}:`)
      socket.end(['HTTP/1.1 200 OK', 'Content-Length: 2', ...fields, '', 'ok'].join('\r\n'))
    }

    it('is whole with as many as an answer may have', async () => {
      expect(await answered(answerWith(MAX_ANSWER_FIELDS))).toEqual({ isOk: true, body: 'ok' })
    })

    // Guards against heads within their limit in bytes that take many times as much for as long as their answers last.
    it('is no answer with more', async () => {
      let hasStarted = false
      const end = await answered(answerWith(MAX_ANSWER_FIELDS + 1), () => { hasStarted = true })
      expect([end.isOk, hasStarted]).toEqual([false, false])
    })
  })

  describe('an answer in chunks', () => {
    it('is not complete when its connection ends before its last chunk', async () => {
      const head = 'HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n'
      const end = await answered((socket) => socket.end(`${head}2\r\nha\r\n`))
      expect(end.isOk).toBe(false)
    })

    it('is complete with its last chunk, even if the connection ends with it', async () => {
      const head = 'HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n'
      const end = await answered((socket) => socket.end(`${head}2\r\nok\r\n0\r\n\r\n`))
      expect(end).toEqual({ isOk: true, body: 'ok' })
    })
  })

  describe('an answer with a length', () => {
    it('is not complete when it is truncated', async () => {
      const end = await answered((socket) => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort'))
      expect(end.isOk).toBe(false)
    })
  })

  describe('bytes without end that are no answer', () => {
    const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    const MAX_READ = 4_194_304
    const MAX_MILLIS = 1000

    // Guards against an endpoint that fills this process's memory and time while it answers nothing.
    it.each([
      ['a reason', 'HTTP/1.1 200 ', 'x'],
      ['a header', 'HTTP/1.1 200 OK\r\nX-Filler: ', 'x'],
      ['interim answers', '', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
      ['the extension of a chunk', `${CHUNKED}1;`, 'x'],
      ['the zeros of a chunk\'s size', CHUNKED, '0'],
      ['a trailer', `${CHUNKED}0\r\nX-Filler: `, 'x'],
      ['trailers', `${CHUNKED}0\r\n`, 'X-Filler: x\r\n']
    ])('end the connection soon: %s', async (_what, start, filler) => {
      const sender = new EndlessSender(start, filler)
      const startedAt = performance.now()
      const end = await answered((socket) => sender.send(socket))
      expect(end.isOk).toBe(false)
      expect(sender.sentBytes).toBeLessThan(MAX_READ)
      expect(performance.now() - startedAt).toBeLessThan(MAX_MILLIS)
    }, 5000)
  })

  describe('interim answers', () => {
    const INTERIM = 'HTTP/1.1 103 Early Hints\r\nLink: </style>\r\n\r\n'
    const FINAL = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'

    // Guards against an interim answer that is taken for the head of the answer.
    it('are not passed on: the answer begins with the final status', async () => {
      const statuses: number[] = []
      const end = await answered((socket) => socket.end(INTERIM.repeat(3) + FINAL), ({ status }) => statuses.push(status))
      expect(end).toEqual({ isOk: true, body: 'ok' })
      expect(statuses).toEqual([200])
    })

    // Guards against thousands of short interim answers, each with objects of its own, that fill the memory of this process.
    it('end the connection once there are more than any sound endpoint sends', async () => {
      const end = await answered((socket) => socket.end(INTERIM.repeat(MAX_INTERIM_ANSWERS + 1) + FINAL))
      expect(end.isOk).toBe(false)
    })
  })

  describe('an answer in many small chunks', () => {
    it('is complete, however many there are', async () => {
      const COUNT = 60_000
      const end = await answered((socket) => {
        socket.end(`HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(COUNT)}0\r\n\r\n`)
      })
      expect(end).toEqual({ isOk: true, body: 'x'.repeat(COUNT) })
    })
  })
})

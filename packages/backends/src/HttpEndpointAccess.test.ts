import { brand, EndlessSender, MAX_JSON_ITEMS, millis, seconds, SILENT_LOG, SystemClock } from '@papayahill/common'
import type { CallOutcome, EndpointId, IdempotencyKey, InstanceId, RequestId, StageId } from '@papayahill/common'
import type { CallError, EndpointConnection, StageAnswer, StageCall, StageChunk } from '@papayahill/endpoints'
import type { ListedEndpoint } from '@papayahill/stores'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import type { Result } from 'true-myth'
import { afterEach, describe, expect, it } from 'vitest'
import { HttpEndpointAccess } from './HttpEndpointAccess.js'

const CRLF = '\r\n'
/** Time between a spoilt part of an answer and what follows. */
const PAUSE = millis(30)
const MAX_OPENING_TRIES = 5

const clock = new SystemClock()

const answerOf = (status: string, body: string, more: readonly string[] = []): string =>
  [`HTTP/1.1 ${status}`, 'Content-Type: application/json', `Content-Length: ${body.length}`, ...more, '', body].join(CRLF)

const unframed = (body: string, contentType = 'application/json'): string =>
  ['HTTP/1.1 200 OK', `Content-Type: ${contentType}`, 'Connection: close', '', body].join(CRLF)

const outputOf = (call: string): string => JSON.stringify({ id: call, output: `output of ${call}` })

/** Answers one request on a connection; `turn` counts the calls of the connection, from 1. */
type RawBehaviour = (socket: Socket, call: string, turn: number) => void

/** The id of a call, or the key of a look-up. */
const idIn = (request: string): string => /x-call-id: (\S+)/i.exec(request)?.[1] ?? /\/v1\/keys\/(\S+)/.exec(request)?.[1] ?? ''

/** An endpoint that writes raw bytes in answer to calls and look-ups, and confirms its incarnation as it should. */
const serveRaw = async (behaviour: RawBehaviour): Promise<Server> => {
  const server = createServer((socket) => {
    let turn = 0
    socket.on('error', () => {})
    socket.on('data', (data) => {
      const request = data.toString()
      if (request.startsWith('GET /v1/identity')) socket.write(answerOf('200 OK', '{"incarnation":"i1"}'))
      else if (request.startsWith('GET /v1/events')) socket.end(answerOf('404 Not Found', ''))
      else behaviour(socket, idIn(request), ++turn)
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return server
}

const endpointAt = (server: Server): ListedEndpoint => ({
  id: brand<EndpointId>('e1'), address: { ip: '127.0.0.1', port: (server.address() as AddressInfo).port }, version: 'v1'
}) as unknown as ListedEndpoint

const callOf = (attempt: number, more: Partial<StageCall> = {}): StageCall => ({
  id: { request: brand<RequestId>('r'), stage: brand<StageId>('s'), attempt },
  kind: 'plain',
  body: 'input',
  priority: 0,
  timeout: seconds(2),
  isStreamed: false,
  ...more
}) as StageCall

describe('HttpEndpointAccess', () => {
  const closing: Array<() => Promise<void> | void> = []

  afterEach(async () => {
    for (const close of closing.splice(0)) await close()
  })

  const accessTo = async (behaviour: RawBehaviour): Promise<{ readonly access: HttpEndpointAccess, readonly endpoint: ListedEndpoint }> => {
    const server = await serveRaw(behaviour)
    const access = new HttpEndpointAccess({ self: brand<InstanceId>('i1'), clock, log: SILENT_LOG })
    closing.push(() => access.close(), () => { server.close() })
    return { access, endpoint: endpointAt(server) }
  }

  const connect = async (behaviour: RawBehaviour): Promise<EndpointConnection> => {
    const { access, endpoint } = await accessTo(behaviour)
    let opened = await access.open(endpoint)
    // Opening has a timeout of 500 ms, which a busy machine may exceed before a test has begun.
    for (let tries = 1; opened.isErr && tries < MAX_OPENING_TRIES; tries++) opened = await access.open(endpoint)
    if (opened.isErr) throw new Error(opened.error.detail)
    return opened.value
  }

  const send = async (
    connection: EndpointConnection, call: StageCall, onChunk: (chunk: StageChunk) => void = () => {}
  ): Promise<Result<StageAnswer, CallError>> => await connection.call(call, onChunk, new AbortController().signal)

  const outcomeOf = (result: Result<StageAnswer, CallError>): CallOutcome => result.isOk ? 'done' : result.error.outcome

  describe('a connection on which an earlier answer was written again', () => {
    it.each([
      ['a refusal', answerOf('503 Service Unavailable', '{}')],
      ['a whole answer', answerOf('200 OK', outputOf('r/s/99'))]
    ])('carries no further calls: %s', async (_what, repeated) => {
      const owed = new WeakMap<Socket, string>()
      const connection = await connect((socket, call, turn) => {
        const own = answerOf('200 OK', outputOf(call))
        const isShifted = owed.has(socket) || (call === 'r/s/2' && turn > 1)
        socket.write(isShifted ? owed.get(socket) ?? repeated : own)
        if (isShifted) owed.set(socket, own)
      })
      const answered: CallOutcome[] = []
      for (let attempt = 1; attempt <= 12; attempt++) {
        const result = await send(connection, callOf(attempt))
        const isOwn = result.isOk && result.value.body === `output of r/s/${attempt}`
        answered.push(result.isOk && !isOwn ? 'crossed' : outcomeOf(result))
      }
      expect(answered.filter((outcome) => outcome !== 'done').length).toBeLessThanOrEqual(1)
    })
  })

  // Guards against answers that take more than twenty times their bytes once they are parsed.
  it('a whole answer of very many short items has failed', async () => {
    const output = '{},'.repeat(MAX_JSON_ITEMS)
    const connection = await connect((socket, call) => socket.write(answerOf('200 OK', `{"id":"${call}","output":[${output}{}]}`)))
    expect(outcomeOf(await send(connection, callOf(1)))).toBe('failed')
  })

  describe('an answer that is cut short', () => {
    const whole = answerOf('200 OK', outputOf('r/s/1'))
    const cuts = Array.from({ length: Math.floor(whole.length / 7) }, (_each, at) => at * 7 + 1)

    it('is never whole, wherever it ends', async () => {
      for (const cut of cuts) {
        const connection = await connect((socket) => socket.end(whole.slice(0, cut)))
        expect([cut, outcomeOf(await send(connection, callOf(1)))]).toEqual([cut, 'cut'])
      }
    })
  })

  describe('an answer with neither a length nor chunks', () => {
    const event = (call: string, text: string, index: number): string =>
      `id: ${index}\ndata: ${JSON.stringify({ id: call, choices: [{ text }] })}\n\n`
    const endOf = (call: string): string => `data: ${JSON.stringify({ id: call, choices: [{ text: '' }] })}\n\ndata: [DONE]\n\n`

    const streamed = async (bytes: string): Promise<readonly [CallOutcome, string]> => {
      const connection = await connect((socket) => socket.end(bytes))
      let text = ''
      const result = await send(connection, callOf(1, { kind: 'engine', isStreamed: true }), (chunk) => { text += chunk.text })
      return [outcomeOf(result), text]
    }

    it('is whole when its connection ends', async () => {
      const connection = await connect((socket, call) => socket.end(unframed(outputOf(call))))
      expect(outcomeOf(await send(connection, callOf(1)))).toBe('done')
    })

    it('is whole as a stream once its end marker has come', async () => {
      expect(await streamed(unframed(event('r/s/1', 'a', 0) + endOf('r/s/1'), 'text/event-stream'))).toEqual(['done', 'a'])
    })

    it('is broken off as a stream if it ends inside an event or between two', async () => {
      expect(await streamed(unframed(event('r/s/1', 'a', 0) + 'id: 1\nda', 'text/event-stream'))).toEqual(['cut', 'a'])
      expect(await streamed(unframed(event('r/s/1', 'a', 0), 'text/event-stream'))).toEqual(['cut', 'a'])
    })
  })

  // Guards against a part of an answer that counts as a complete one, since the reset of its connection is taken for its end. The
  // parts are whole as JSON and as streams, so that only the reset shows that more might have come.
  describe('an answer before the reset of its connection', () => {
    const LARGE = 'x'.repeat(3_900_000)
    const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`
    const streamOf = (call: string): string => [{ text: 'a' }, { text: '' }]
      .map((choice) => `data: ${JSON.stringify({ id: call, choices: [choice] })}\n\n`).join('') + 'data: [DONE]\n\n'

    const FORMS: ReadonlyArray<readonly [form: string, write: (status: string, part: string) => string]> = [
      ['without a length', (status, part) => ['HTTP/1.1 ' + status, '', part].join(CRLF)],
      ['with a length', (status, part) => [`HTTP/1.1 ${status}`, `Content-Length: ${part.length + 1}`, '', part].join(CRLF)],
      ['in chunks', (status, part) => [`HTTP/1.1 ${status}`, 'Transfer-Encoding: chunked', '', chunk(part)].join(CRLF)],
      ['in chunks, without the end of its trailers', (status, part) =>
        [`HTTP/1.1 ${status}`, 'Transfer-Encoding: chunked', 'Trailer: X-Sum', '', `${chunk(part)}0`, 'X-Sum: 1', ''].join(CRLF)]
    ]
    const MOMENTS: ReadonlyArray<readonly [moment: string, body: string, awaited: number, pause: number | undefined]> = [
      ['before the upload is read', LARGE, 1, undefined],
      ['a moment later, before the upload is read', LARGE, 1, PAUSE],
      ['in the middle of the upload', LARGE, LARGE.length / 2, undefined],
      ['after the last byte of the upload', LARGE, LARGE.length, undefined],
      ['a moment later, after the last byte of the upload', LARGE, LARGE.length, PAUSE],
      ['after the last byte of a short upload', 'input', 1, undefined],
      ['a moment later, after the last byte of a short upload', 'input', 1, PAUSE]
    ]

    /** Answers a call once so many bytes of it have arrived, and resets the connection. */
    const resetsAfter = (awaited: number, pause: number | undefined, bytes: (call: string) => string): RawBehaviour => {
      let call = ''
      let isAnswered = false
      const answer = (socket: Socket): void => {
        socket.pause()
        socket.write(bytes(call))
        if (pause === undefined) socket.resetAndDestroy()
        else setTimeout(() => socket.resetAndDestroy(), pause)
      }
      return (socket, id) => {
        call ||= id
        if (isAnswered || socket.bytesRead < awaited) return
        isAnswered = true
        // The head counts as well, so that the last bytes of a whole body arrive a moment after these.
        if (awaited < LARGE.length) answer(socket)
        else setTimeout(() => answer(socket), PAUSE)
      }
    }

    describe.each(FORMS)('%s', (_form, write) => {
      it.each(MOMENTS)('is cut: %s', async (_moment, body, awaited, pause) => {
        for (const status of ['200 OK', '201 Created']) {
          const plain = await connect(resetsAfter(awaited, pause, (call) => write(status, outputOf(call))))
          expect(outcomeOf(await send(plain, callOf(1, { body })))).toBe('cut')
          const stream = await connect(resetsAfter(awaited, pause, (call) => write(status, streamOf(call))))
          expect(outcomeOf(await send(stream, callOf(1, { body, kind: 'engine', isStreamed: true })))).toBe('cut')
        }
      })
    })
  })

  // Guards against an answer with an invalid status that is taken for the endpoint's own error, which says that the call has ended there.
  describe('an answer with a status that there is not', () => {
    it.each([
      ['600', {}], ['999', {}], ['600', { kind: 'engine', isStreamed: true }], ['999', { kind: 'engine', isStreamed: true }]
    ] as const)('is cut: %s %o', async (status, more) => {
      const connection = await connect((socket, call) => socket.write(answerOf(`${status} Odd`, outputOf(call))))
      expect(outcomeOf(await send(connection, callOf(1, more)))).toBe('cut')
    })

    it('confirms no incarnation', async () => {
      const server = createServer((socket) => {
        socket.on('error', () => {}).on('data', () => socket.write(answerOf('600 Odd', '{"incarnation":"i1"}')))
      })
      await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
      const access = new HttpEndpointAccess({ self: brand<InstanceId>('i1'), clock, log: SILENT_LOG })
      closing.push(() => access.close(), () => { server.close() })
      expect((await access.open(endpointAt(server))).isErr).toBe(true)
    })
  })

  describe('the look-up of a key', () => {
    it('is not answered by what the endpoint writes again of an earlier one', async () => {
      const { access, endpoint } = await accessTo((socket, key, turn) => {
        const own = answerOf('200 OK', JSON.stringify({ kind: key === 'k1' ? 'not-run' : 'running' }))
        socket.write(turn === 1 ? own : answerOf('200 OK', '{"kind":"not-run"}'))
        if (turn > 1) setTimeout(() => { if (!socket.destroyed) socket.write(own) }, PAUSE)
      })
      for (let at = 0; at < 3; at++) await access.lookUp(endpoint, brand<IdempotencyKey>('k1'))
      for (let at = 0; at < 3; at++) {
        expect((await access.lookUp(endpoint, brand<IdempotencyKey>('k2'))).unwrapOr(undefined)).toEqual({ kind: 'running' })
      }
    })
  })

  describe('bytes without end', () => {
    /** The largest answer and what the sockets of both sides may hold. */
    const MAX_SENT = 16_777_216
    const MAX_MILLIS = 1500
    const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n'

    const KINDS = [
      ['of a body', HEAD, 'x'],
      ['of comments', HEAD, ': no event\n\n'],
      ['of interim answers', '', 'HTTP/1.1 103 Early Hints\r\n\r\n']
    ] as const

    const READERS: Readonly<Record<string, readonly [path: string, read: (server: Server) => Promise<unknown>]>> = {
      'an endpoint\'s identity': ['/v1/identity', async (server) => await accessOf().open(endpointAt(server))],
      'a report': ['/v1/load', async (server) => await accessOf().report(endpointAt(server))],
      'the look-up of a key': ['/v1/keys', async (server) => await accessOf().lookUp(endpointAt(server), brand<IdempotencyKey>('k1'))],
      'an answer': ['', async (server) => await callTo(server)],
      'a stream': ['', async (server) => await callTo(server, { kind: 'engine', isStreamed: true })],
      'the feed of events': ['/v1/events', async (server) => await accessOf().open(endpointAt(server))]
    }

    const accessOf = (): HttpEndpointAccess => {
      const access = new HttpEndpointAccess({ self: brand<InstanceId>('i1'), clock, log: SILENT_LOG })
      closing.push(() => access.close())
      return access
    }

    const callTo = async (server: Server, more: Partial<StageCall> = {}): Promise<unknown> => {
      const opened = await accessOf().open(endpointAt(server))
      if (opened.isErr) throw new Error(opened.error.detail)
      return await send(opened.value, callOf(1, { ...more, timeout: seconds(20) }))
    }

    /** Serves as `serveRaw`, but continues the answer to the given path, or to calls, without end; reports the end of that connection. */
    const serveEndless = async (
      path: string, sender: EndlessSender, onClose: () => void
    ): Promise<Server> => {
      const server = createServer((socket) => {
        socket.on('error', () => {})
        socket.on('data', (data) => {
          const request = data.toString()
          const isEndless = path === '' ? request.startsWith('POST') : request.startsWith(`GET ${path}`)
          if (isEndless) socket.once('close', onClose)
          if (isEndless) sender.send(socket)
          else if (request.startsWith('GET /v1/identity')) socket.write(answerOf('200 OK', '{"incarnation":"i1"}'))
          else socket.end(answerOf('404 Not Found', ''))
        })
      })
      await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
      closing.push(() => { server.close() })
      return server
    }

    describe.each(Object.entries(READERS))('in %s', (_reader, [path, read]) => {
      // Guards against a process that reads such bytes on, or keeps them, until it runs out of memory.
      it.each(KINDS)('end its connection soon: %s', async (_kind, start, filler) => {
        const sender = new EndlessSender(start, filler)
        const startedAt = performance.now()
        const isClosed = new Promise<void>((resolve) => {
          void serveEndless(path, sender, resolve).then(read)
        })
        await isClosed
        expect(performance.now() - startedAt).toBeLessThan(MAX_MILLIS)
        expect(sender.sentBytes).toBeLessThan(MAX_SENT)
      }, 5000)
    })
  })
})

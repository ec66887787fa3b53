import { ConnectionGuard, ITEM_COST, KEEP_ALIVE_IDLE } from '@papayahill/common'
import type { Clock, EventLog } from '@papayahill/common'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { isIPv6 } from 'node:net'
import type { Socket } from 'node:net'
import { WebSocket, WebSocketServer } from 'ws'
import type { RawData } from 'ws'
import {
  HANDSHAKE_TIMEOUT, MAX_ACCEPTED_SOCKETS, MAX_BUFFERED_BYTES, MAX_FRAME_BYTES, MAX_HANDSHAKE_BYTES, MAX_UPGRADE_BYTES, UPGRADE_CHECK_PERIOD
} from './constants.js'
import { PEERS_EVENTS } from './events.js'
import { decodeFrame, encodeFrame } from './frameCodec.js'
import type { Frame } from './frames.js'
import { decodeHello, decodeIdentity, encodeHello, encodeIdentity, isProofValid, newNonce, computeProof } from './handshake.js'
import type { HandshakeRole, Hello } from './handshake.js'
import type { Link, ListenRange, PeerAddress, PeerIdentity, Transport } from './transport.js'

/** Size of the WebSocket header of a typical frame. */
const HEADER_BYTES = 6

export interface WsTransportOptions {
  readonly identity: (address: PeerAddress) => PeerIdentity
  readonly secret: string
  readonly listen: ListenRange
  readonly clock: Clock
  readonly log: EventLog
  /** Maximum number of accepted connections. */
  readonly maxSockets?: number | undefined
}

const OTHER_ROLE: Readonly<Record<HandshakeRole, HandshakeRole>> = { dials: 'accepts', accepts: 'dials' }

const keepAlive = ({ socket }: IncomingMessage): void => { socket.setKeepAlive(true, KEEP_ALIVE_IDLE) }

const bufferOf = (data: RawData): Buffer => {
  if (Buffer.isBuffer(data)) return data
  return Array.isArray(data) ? Buffer.concat(data) : Buffer.from(data)
}

const STATUS_UPGRADE_REQUIRED = 426

/** Answers what is no upgrade; such a connection is of no further use. */
const refuseRequest = (_req: IncomingMessage, res: ServerResponse): void => {
  res.writeHead(STATUS_UPGRADE_REQUIRED, { connection: 'close' }).end()
}

/** Resolves once the server listens; rejects if the address cannot be bound. */
const openServerOn = async ({ ip, port }: PeerAddress): Promise<Server> => {
  const server = createServer({
    maxHeaderSize: MAX_UPGRADE_BYTES,
    headersTimeout: HANDSHAKE_TIMEOUT,
    requestTimeout: HANDSHAKE_TIMEOUT,
    connectionsCheckingInterval: UPGRADE_CHECK_PERIOD
  }, refuseRequest)
  await new Promise<void>((resolve, reject) => {
    server.once('listening', resolve)
    server.once('error', reject)
    server.listen(port, ip)
  })
  server.removeAllListeners('error')
  return server
}

/** Ends a connection that sends more than a handshake takes, until it is authenticated; the function that lifts the bound. */
const boundHandshake = ({ socket }: IncomingMessage): () => void => {
  const onData = (): void => { if (socket.bytesRead > MAX_HANDSHAKE_BYTES) socket.destroy() }
  socket.on('data', onData)
  return () => socket.off('data', onData)
}

/** Links over WebSockets; each side proves knowledge of the secret by an HMAC over the other's nonce. */
export class WsTransport implements Transport {
  readonly #options: WsTransportOptions
  readonly #sockets = new Set<WebSocket>()
  /** Accepted connections that are authenticated. */
  readonly #linked = new WeakSet<Socket>()
  #server: Server | undefined
  #address: PeerAddress

  constructor (options: WsTransportOptions) {
    this.#options = options
    this.#address = options.listen
  }

  async listen (onLink: (link: Link) => void): Promise<PeerAddress> {
    const { ip, port } = this.#options.listen
    const server = await this.#openServer()
    this.#server = server
    this.#guard().watch(server)
    const links = new WebSocketServer({ server, maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false })
    links.on('error', () => { /* The server's own listener reports it. */ })
    links.on('connection', (socket, req) => {
      keepAlive(req)
      const lift = boundHandshake(req)
      void this.#handshake(socket, 'accepts').then((link) => {
        lift()
        if (link === undefined) return
        this.#linked.add(req.socket)
        onLink(link)
      })
    })
    server.on('error', (err) => this.#options.log.emit(PEERS_EVENTS.listenerFailed, { detail: err.message }))
    const bound = server.address()
    this.#address = { ip, port: typeof bound === 'object' && bound !== null ? bound.port : port }
    return this.#address
  }

  async dial (address: PeerAddress): Promise<Link | undefined> {
    const host = isIPv6(address.ip) ? `[${address.ip}]` : address.ip
    const socket = new WebSocket(`ws://${host}:${address.port}`, {
      maxPayload: MAX_FRAME_BYTES, handshakeTimeout: HANDSHAKE_TIMEOUT, perMessageDeflate: false
    })
    socket.once('upgrade', keepAlive)
    return await this.#handshake(socket, 'dials')
  }

  async close (): Promise<void> {
    for (const socket of this.#sockets) socket.close()
    await new Promise<void>((resolve) => {
      if (this.#server === undefined) resolve()
      else this.#server.close(() => resolve())
      this.#server?.closeIdleConnections()
    })
  }

  #guard (): ConnectionGuard {
    const { clock, log, maxSockets = MAX_ACCEPTED_SOCKETS } = this.#options
    return new ConnectionGuard({
      clock,
      max: maxSockets,
      maxPerSource: maxSockets,
      isBusy: (socket) => this.#linked.has(socket),
      onClosed: (count) => log.emit(PEERS_EVENTS.connectionsClosed, { count })
    })
  }

  /** Opens the server on the first port of the range that can be bound; rejects if there is none. */
  async #openServer (): Promise<Server> {
    const { ip, port, lastPort = port } = this.#options.listen
    for (let next = port; ; next++) {
      try {
        return await openServerOn({ ip, port: next })
      } catch (err) {
        if (next >= lastPort || (err as NodeJS.ErrnoException).code !== 'EADDRINUSE') throw err
      }
    }
  }

  /** Exchanges hellos; undefined if the remote is not a peer or fails to authenticate. */
  #handshake (socket: WebSocket, role: HandshakeRole): Promise<Link | undefined> {
    this.#sockets.add(socket)
    return new Promise((resolve) => {
      const own: Hello = { identity: encodeIdentity(this.#options.identity(this.#address)), nonce: newNonce() }
      const finish = (link: Link | undefined): void => {
        timer.cancel()
        socket.off('message', onMessage)
        if (link === undefined) socket.terminate()
        resolve(link)
      }
      const timer = this.#options.clock.after(HANDSHAKE_TIMEOUT, () => finish(undefined))
      let other: Hello | undefined
      const onMessage = (data: RawData): void => {
        const hello = decodeHello(bufferOf(data).toString())
        if (hello === undefined) return finish(undefined)
        if (other === undefined) {
          other = hello
          const proof = computeProof(this.#options.secret, role, own, hello.nonce)
          return socket.send(encodeHello({ ...own, proof }))
        }
        // The second hello must repeat the first one and add the proof.
        const isSame = hello.identity === other.identity && hello.nonce === other.nonce
        finish(isSame ? this.#verify(socket, role, hello, own.nonce) : undefined)
      }
      socket.on('message', onMessage)
      socket.on('error', () => finish(undefined))
      socket.once('close', () => {
        this.#sockets.delete(socket)
        finish(undefined)
      })
      if (role === 'accepts') socket.send(encodeHello(own))
      else socket.once('open', () => socket.send(encodeHello(own)))
    })
  }

  #verify (socket: WebSocket, role: HandshakeRole, other: Hello, ownNonce: string): Link | undefined {
    if (!isProofValid(this.#options.secret, OTHER_ROLE[role], other, ownNonce)) {
      this.#options.log.emit(PEERS_EVENTS.secretWrong, { identity: other.identity })
      return undefined
    }
    const peer = decodeIdentity(other.identity)
    return peer === undefined ? undefined : new WsLink(socket, peer, role === 'dials', this.#options.log)
  }
}

class WsLink implements Link {
  readonly peer: PeerIdentity
  readonly isDialled: boolean
  readonly #socket: WebSocket
  readonly #log: EventLog
  /** Frames that the system has not taken to send. */
  #unsentFrames = 0
  readonly #onSent = (): void => { this.#unsentFrames-- }
  #buffered: Array<{ readonly frame: Frame, readonly size: number }> = []
  #listener: ((frame: Frame, size: number) => void) | undefined

  constructor (socket: WebSocket, peer: PeerIdentity, isDialled: boolean, log: EventLog) {
    this.#socket = socket
    this.peer = peer
    this.isDialled = isDialled
    this.#log = log
    socket.on('message', (data) => this.#receive(bufferOf(data)))
  }

  send (frame: Frame): number {
    const held = this.#socket.bufferedAmount + this.#unsentFrames * ITEM_COST
    if (this.#socket.readyState !== WebSocket.OPEN || held > MAX_BUFFERED_BYTES) return 0
    const data = encodeFrame(frame)
    if (data.length > MAX_FRAME_BYTES) {
      this.#log.emit(PEERS_EVENTS.frameTooLarge, { peer: this.peer.id, kind: frame.kind, bytes: data.length })
      return 0
    }
    this.#unsentFrames++
    this.#socket.send(data, this.#onSent)
    return data.length + HEADER_BYTES
  }

  onFrame (listener: (frame: Frame, size: number) => void): void {
    this.#listener = listener
    const buffered = this.#buffered
    this.#buffered = []
    for (const { frame, size } of buffered) listener(frame, size)
  }

  onClose (listener: () => void): void {
    if (this.#socket.readyState === WebSocket.CLOSED) listener()
    else this.#socket.once('close', listener)
  }

  close (): void {
    this.#socket.close()
  }

  terminate (): void {
    this.#socket.terminate()
  }

  #receive (data: Buffer): void {
    const frame = decodeFrame(data)
    if (frame === undefined) {
      this.#log.emit(PEERS_EVENTS.frameBroken, { peer: this.peer.id })
      return this.#socket.terminate()
    }
    const size = data.length + HEADER_BYTES
    if (this.#listener === undefined) this.#buffered.push({ frame, size })
    else this.#listener(frame, size)
  }
}

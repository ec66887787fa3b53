import type { Clock, EndpointIncarnation } from '@papayahill/common'
import type { EndpointSocket } from '@papayahill/connections'
import { BUSY_PER_SPARE, MAX_IDLE_SOCKETS, SPARE_SOCKETS } from './constants.js'
import { openSocket } from './openSocket.js'
import type { OpenedSocket } from './openSocket.js'

export interface SocketPoolOptions {
  readonly origin: string
  readonly clock: Clock
  readonly first: OpenedSocket
  /** A new connection met another life of the endpoint, or no connection to this one is left. */
  readonly onOtherLife: () => void
}

/** Confirmed connections to one life of an endpoint: some at work, a few ready. */
export class SocketPool {
  readonly #options: SocketPoolOptions
  readonly #incarnation: EndpointIncarnation
  readonly #idle: EndpointSocket[] = []
  #busy = 0
  #opening = 0
  #isClosed = false

  constructor (options: SocketPoolOptions) {
    this.#options = options
    this.#incarnation = options.first.incarnation
    this.#addIdle(this.#adopt(options.first.socket))
    this.#refill()
  }

  /** Takes a ready connection in this tick. */
  takeIdle (): EndpointSocket | undefined {
    const socket = this.#idle.pop()
    if (socket === undefined) return undefined
    this.#busy++
    this.#refill()
    return socket
  }

  /**
   * Opens one more; undefined where the endpoint can't be reached or lives anew. An endpoint that takes no
   * new connection, as one that leaves, still lives while another connection to it stands.
   */
  async open (): Promise<EndpointSocket | undefined> {
    this.#opening++
    const opened = await openSocket(this.#options.origin, this.#options.clock)
    this.#opening--
    const socket = opened.isOk ? this.#accept(opened.value) : undefined
    if (socket !== undefined) this.#busy++
    else if (opened.isOk || this.#isEmpty) this.#options.onOtherLife()
    return socket
  }

  giveBack (socket: EndpointSocket): void {
    this.#busy--
    if (socket.isUsable) this.#addIdle(socket)
    else if (this.#isEmpty && !this.#isClosed) void this.#openSpare()
  }

  close (): void {
    this.#isClosed = true
    for (const socket of this.#idle.splice(0)) socket.close()
  }

  get #isEmpty (): boolean {
    return this.#idle.length + this.#busy + this.#opening === 0
  }

  #accept ({ socket, incarnation }: OpenedSocket): EndpointSocket | undefined {
    if (incarnation === this.#incarnation && !this.#isClosed) return this.#adopt(socket)
    socket.close()
    return undefined
  }

  #adopt (socket: EndpointSocket): EndpointSocket {
    socket.onLost(() => this.#drop(socket))
    return socket
  }

  /** A lost connection may be the endpoint's end: asks at once which life answers now. */
  #drop (socket: EndpointSocket): void {
    const at = this.#idle.indexOf(socket)
    if (at >= 0) this.#idle.splice(at, 1)
    if (!this.#isClosed && this.#opening === 0) void this.#openSpare()
  }

  #addIdle (socket: EndpointSocket): void {
    if (this.#isClosed || this.#idle.length >= MAX_IDLE_SOCKETS) socket.close()
    else this.#idle.push(socket)
  }

  #refill (): void {
    const wanted = SPARE_SOCKETS + Math.floor(this.#busy / BUSY_PER_SPARE)
    for (let ready = this.#idle.length + this.#opening; ready < wanted; ready++) void this.#openSpare()
  }

  async #openSpare (): Promise<void> {
    const socket = await this.open()
    if (socket !== undefined) this.giveBack(socket)
  }
}

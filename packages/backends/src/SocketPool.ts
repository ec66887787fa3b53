import type { Clock, EndpointIncarnation } from '@papayahill/common'
import type { EndpointSocket } from '@papayahill/connections'
import { BUSY_PER_SPARE, MAX_IDLE_SOCKETS, SPARE_SOCKETS } from './constants.js'
import { openSocket } from './openSocket.js'
import type { OpenedSocket } from './openSocket.js'

export interface SocketPoolOptions {
  readonly origin: string
  readonly clock: Clock
  readonly first: OpenedSocket
  /** Called when a new connection reached another incarnation, or when no connection to this one is left. */
  readonly onIncarnationLost: () => void
}

/** Confirmed connections to one incarnation of an endpoint: busy ones, and a few idle ones kept in reserve. */
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
    this.#addIdle(this.#watchLoss(options.first.socket))
    this.#refill()
  }

  /** Returns an idle connection at once, or undefined if there is none. */
  acquireIdle (): EndpointSocket | undefined {
    const socket = this.#idle.pop()
    if (socket === undefined) return undefined
    this.#busy++
    this.#refill()
    return socket
  }

  /**
   * Opens a further connection; undefined if the endpoint can't be reached or has restarted. An endpoint that refuses
   * new connections, such as one that is leaving, still counts as alive while another connection to it is open.
   */
  async open (): Promise<EndpointSocket | undefined> {
    this.#opening++
    const opened = await openSocket(this.#options.origin, this.#options.clock)
    this.#opening--
    const socket = opened.isOk ? this.#confirm(opened.value) : undefined
    if (socket !== undefined) this.#busy++
    else if (opened.isOk || this.#isEmpty) this.#options.onIncarnationLost()
    return socket
  }

  release (socket: EndpointSocket): void {
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

  #confirm ({ socket, incarnation }: OpenedSocket): EndpointSocket | undefined {
    if (incarnation === this.#incarnation && !this.#isClosed) return this.#watchLoss(socket)
    socket.close()
    return undefined
  }

  #watchLoss (socket: EndpointSocket): EndpointSocket {
    socket.onLost(() => this.#drop(socket))
    return socket
  }

  /** A lost connection may mean that the endpoint died: opens a new one at once to see which incarnation answers. */
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
    const target = SPARE_SOCKETS + Math.floor(this.#busy / BUSY_PER_SPARE)
    for (let ready = this.#idle.length + this.#opening; ready < target; ready++) void this.#openSpare()
  }

  async #openSpare (): Promise<void> {
    const socket = await this.open()
    if (socket !== undefined) this.release(socket)
  }
}

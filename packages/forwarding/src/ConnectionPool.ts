import { EndpointSocket, TCP_DIALER } from '@papayahill/connections'
import type { EndpointDialer, ListenerState } from '@papayahill/connections'
import type { Endpoint, EndpointDirectory } from '@papayahill/directory'
import { isIPv6 } from 'node:net'
import { CONNECTION_SHARE, MAX_IDLE_CONNECTIONS } from './constants.js'
import type { LimitPartitioner } from './LimitPartitioner.js'
import type { ProfileLookup } from './types.js'

export interface ConnectionPoolOptions {
  readonly directory: Pick<EndpointDirectory, 'onGone'>
  readonly profileOf: ProfileLookup
  /** Divides an endpoint's connection limit between the instances. */
  readonly partitioner: Pick<LimitPartitioner, 'shareOf' | 'forget'>
  /** Called when a connection has opened and lasted for {@link SETTLE_TIME}, or could not be opened. */
  readonly onConnected: (endpoint: Endpoint, isOpen: boolean) => void
  /** Opens the connections; over TCP if absent. */
  readonly dialer?: EndpointDialer | undefined
}

interface EndpointConnections {
  readonly idle: EndpointSocket[]
  open: number
}

const NO_SOCKETS: ReadonlySet<EndpointSocket> = new Set()

const limitName = ({ id }: Endpoint): string => `${id} connections`

const originOf = ({ address: { ip, port } }: Endpoint): string => `http://${isIPv6(ip) ? `[${ip}]` : ip}:${port}`

/**
 * Keep-alive connections to endpoints. Each instance stays within its share of an endpoint's connection limit.
 *
 * @example
 * const socket = pool.acquire(endpoint)
 * pool.release(endpoint, socket)
 */
export class ConnectionPool {
  readonly #options: ConnectionPoolOptions
  readonly #dialer: EndpointDialer
  readonly #connections = new WeakMap<Endpoint, EndpointConnections>()
  /** Those of endpoints that are not gone; calls that end later must not bring them back. */
  readonly #current = new Set<EndpointConnections>()

  constructor (options: ConnectionPoolOptions) {
    this.#options = options
    this.#dialer = options.dialer ?? TCP_DIALER
    options.directory.onGone((endpoint) => this.#closeIdle(endpoint))
  }

  /** Number of endpoints with connections. */
  get endpointCount (): number {
    return this.#current.size
  }

  /** Connections that are open or opening. */
  get size (): number {
    return [...this.#current].reduce((sum, { open }) => sum + open, 0)
  }

  /**
   * An idle connection, or a new one that opens with its first exchange; undefined if this instance's share is used up. None
   * of `avoided`: a refusal that is written again there would name the attempt that was refused.
   */
  acquire (endpoint: Endpoint, avoided: ReadonlySet<EndpointSocket> = NO_SOCKETS): EndpointSocket | undefined {
    const connections = this.#connectionsOf(endpoint)
    const idle = this.#takeIdle(connections, avoided)
    if (idle !== undefined) return idle
    if (connections.open >= this.#limitOf(endpoint)) return undefined
    connections.open++
    const socket = new EndpointSocket(originOf(endpoint), this.#dialer.connect)
    socket.onClosed(() => { connections.open-- })
    socket.onConnected((isOpen) => this.#options.onConnected(endpoint, isOpen))
    return socket
  }

  /** Whether {@link acquire} would give a connection now. */
  canAcquire (endpoint: Endpoint, avoided: ReadonlySet<EndpointSocket> = NO_SOCKETS): boolean {
    const { idle, open } = this.#connectionsOf(endpoint)
    return open < this.#limitOf(endpoint) || idle.some((socket) => socket.isUsable && !avoided.has(socket))
  }

  #takeIdle ({ idle }: EndpointConnections, avoided: ReadonlySet<EndpointSocket>): EndpointSocket | undefined {
    for (let at = idle.length - 1; at >= 0; at--) {
      const socket = idle[at]!
      if (socket.isUsable && avoided.has(socket)) continue
      idle.splice(at, 1)
      if (socket.isUsable) return socket
    }
    return undefined
  }

  /** Whether a connection to the endpoint is open and carries no request. */
  hasIdle (endpoint: Endpoint): boolean {
    return this.#connections.get(endpoint)?.idle.some((socket) => socket.isUsable) === true
  }

  /** Whether something still listens at the endpoint's address. */
  async probe ({ address: { ip, port } }: Endpoint): Promise<ListenerState> {
    return await this.#dialer.probe(ip, port)
  }

  /** Whether new connections reach the endpoint. */
  async probePath ({ address: { ip, port } }: Endpoint): Promise<ListenerState> {
    return await this.#dialer.probePath(ip, port)
  }

  release (endpoint: Endpoint, socket: EndpointSocket): void {
    const { idle } = this.#connectionsOf(endpoint)
    if (!socket.isUsable) return
    if (endpoint.isGone || idle.length >= MAX_IDLE_CONNECTIONS) socket.close()
    else idle.push(socket)
  }

  close (): void {
    for (const { idle } of this.#current) for (const socket of idle.splice(0)) socket.close()
  }

  #closeIdle (endpoint: Endpoint): void {
    const connections = this.#connectionsOf(endpoint)
    for (const socket of connections.idle.splice(0)) socket.close()
    if (!endpoint.isGone) return
    this.#current.delete(connections)
    this.#options.partitioner.forget(limitName(endpoint))
  }

  #connectionsOf (endpoint: Endpoint): EndpointConnections {
    const known = this.#connections.get(endpoint)
    if (known !== undefined) return known
    const connections: EndpointConnections = { idle: [], open: 0 }
    this.#connections.set(endpoint, connections)
    if (!endpoint.isGone) this.#current.add(connections)
    return connections
  }

  #limitOf (endpoint: Endpoint): number {
    const maxConnections = this.#options.profileOf(endpoint.service)?.maxConnections
    return maxConnections === undefined
      ? MAX_IDLE_CONNECTIONS
      : this.#options.partitioner.shareOf(limitName(endpoint), maxConnections * CONNECTION_SHARE)
  }
}

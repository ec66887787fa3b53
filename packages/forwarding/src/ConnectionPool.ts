import type { EndpointId } from '@papayahill/common'
import { EndpointSocket, probeListener } from '@papayahill/connections'
import type { ListenerState } from '@papayahill/connections'
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
}

interface EndpointConnections {
  readonly idle: EndpointSocket[]
  open: number
}

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
  readonly #connections = new Map<EndpointId, EndpointConnections>()

  constructor (options: ConnectionPoolOptions) {
    this.#options = options
    options.directory.onGone((endpoint) => this.#closeIdle(endpoint))
  }

  /** Connections that are open or opening. */
  get size (): number {
    return [...this.#connections.values()].reduce((sum, { open }) => sum + open, 0)
  }

  /** An idle connection, or a new one that opens with its first exchange; undefined if this instance's share is used up. */
  acquire (endpoint: Endpoint): EndpointSocket | undefined {
    const connections = this.#connectionsOf(endpoint)
    for (let socket = connections.idle.pop(); socket !== undefined; socket = connections.idle.pop()) {
      if (socket.isUsable) return socket
    }
    if (connections.open >= this.#limitOf(endpoint)) return undefined
    connections.open++
    const socket = new EndpointSocket(originOf(endpoint))
    socket.onClosed(() => { connections.open-- })
    return socket
  }

  /** Whether something still listens at the endpoint's address. */
  async probe ({ address: { ip, port } }: Endpoint): Promise<ListenerState> {
    return await probeListener(ip, port)
  }

  release (endpoint: Endpoint, socket: EndpointSocket): void {
    const { idle } = this.#connectionsOf(endpoint)
    if (!socket.isUsable) return
    if (endpoint.isGone || idle.length >= MAX_IDLE_CONNECTIONS) socket.close()
    else idle.push(socket)
  }

  close (): void {
    for (const { idle } of this.#connections.values()) for (const socket of idle.splice(0)) socket.close()
  }

  #closeIdle (endpoint: Endpoint): void {
    for (const socket of this.#connectionsOf(endpoint).idle.splice(0)) socket.close()
    if (!endpoint.isGone) return
    this.#connections.delete(endpoint.id)
    this.#options.partitioner.forget(limitName(endpoint))
  }

  #connectionsOf (endpoint: Endpoint): EndpointConnections {
    const known = this.#connections.get(endpoint.id)
    if (known !== undefined) return known
    const connections: EndpointConnections = { idle: [], open: 0 }
    this.#connections.set(endpoint.id, connections)
    return connections
  }

  #limitOf (endpoint: Endpoint): number {
    const maxConnections = this.#options.profileOf(endpoint.service)?.maxConnections
    return maxConnections === undefined
      ? MAX_IDLE_CONNECTIONS
      : this.#options.partitioner.shareOf(limitName(endpoint), maxConnections * CONNECTION_SHARE)
  }
}

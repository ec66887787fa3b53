import { parseBoundedJson, readText } from '@papayahill/common'
import type { Clock, EndpointId, EventLog, IdempotencyKey, InstanceId, Json } from '@papayahill/common'
import { boundedConnector } from '@papayahill/connections'
import type {
  CacheEvent, CallError, EndpointAccess, EndpointConnection, KeyStatus, LoadReport
} from '@papayahill/endpoints'
import type { Address, ListedEndpoint } from '@papayahill/stores'
import { isIPv6 } from 'node:net'
import { Result } from 'true-myth'
import { Agent } from 'undici'
import { MAX_QUERY_ANSWER, QUERY_CONNECTIONS, QUERY_TIMEOUT } from './constants.js'
import { EndpointFeed } from './EndpointFeed.js'
import { BACKENDS_EVENTS } from './events.js'
import { HttpConnection } from './HttpConnection.js'
import { openSocket } from './openSocket.js'
import { readKeyStatus, readReport } from './readReport.js'

export interface HttpEndpointAccessOptions {
  readonly self: InstanceId
  readonly clock: Clock
  readonly log: EventLog
}

/** Formats an endpoint's address as an origin; IPv6 addresses are put in brackets. */
export const originOf = ({ ip, port }: Address): string => `http://${isIPv6(ip) ? `[${ip}]` : ip}:${port}`

/**
 * Access to endpoints over HTTP. A connection carries calls only once the endpoint's incarnation was confirmed on it.
 *
 * @example
 * const access = new HttpEndpointAccess({ self, clock, log })
 * const connection = await access.open(endpoint)
 */
export class HttpEndpointAccess implements EndpointAccess {
  readonly #options: HttpEndpointAccessOptions
  readonly #agent = new Agent({ connections: QUERY_CONNECTIONS, connect: boundedConnector(MAX_QUERY_ANSWER) })
  readonly #connections = new Set<EndpointConnection>()
  readonly #feeds = new Map<EndpointId, EndpointFeed>()
  readonly #reportListeners: Array<(report: LoadReport) => void> = []
  readonly #cacheListeners: Array<(event: CacheEvent) => void> = []

  constructor (options: HttpEndpointAccessOptions) {
    this.#options = options
  }

  async open (endpoint: ListedEndpoint): Promise<Result<EndpointConnection, CallError>> {
    const { clock, log } = this.#options
    const origin = originOf(endpoint.address)
    const opened = await openSocket(origin, clock)
    if (opened.isErr) {
      const { detail, isRefused } = opened.error
      log.emit(BACKENDS_EVENTS.openFailed, { endpoint: endpoint.id, detail })
      return Result.err({ outcome: 'not-sent', detail, isRefused })
    }
    const connection = new HttpConnection({ ...this.#options, endpoint, origin, first: opened.value })
    log.emit(BACKENDS_EVENTS.connectionOpened, { endpoint: endpoint.id, incarnation: connection.incarnation })
    this.#track(endpoint, origin, connection)
    return Result.ok(connection)
  }

  async report (endpoint: ListedEndpoint): Promise<Result<LoadReport, CallError>> {
    return (await this.#query(endpoint, '/v1/load')).andThen((body) => orMalformed(readReport(body)))
  }

  onReport (listener: (report: LoadReport) => void): void {
    this.#reportListeners.push(listener)
  }

  onCacheEvent (listener: (event: CacheEvent) => void): void {
    this.#cacheListeners.push(listener)
  }

  async lookUp (endpoint: ListedEndpoint, key: IdempotencyKey): Promise<Result<KeyStatus, CallError>> {
    const path = `/v1/keys/${encodeURIComponent(key)}`
    return (await this.#query(endpoint, path, true)).andThen((body) => orMalformed(readKeyStatus(body)))
  }

  /** Closes all connections and feeds. */
  async close (): Promise<void> {
    for (const feed of this.#feeds.values()) feed.stop()
    for (const connection of this.#connections) connection.close()
    await this.#agent.destroy()
  }

  #track (endpoint: ListedEndpoint, origin: string, connection: EndpointConnection): void {
    this.#connections.add(connection)
    this.#feeds.get(endpoint.id)?.stop()
    const feed = new EndpointFeed({
      origin,
      clock: this.#options.clock,
      onReport: (report) => { for (const listener of this.#reportListeners) listener(report) },
      onCacheEvent: (event) => { for (const listener of this.#cacheListeners) listener(event) }
    })
    this.#feeds.set(endpoint.id, feed)
    feed.start()
    connection.onClose(() => this.#untrack(endpoint.id, feed, connection))
  }

  #untrack (endpoint: EndpointId, feed: EndpointFeed, connection: EndpointConnection): void {
    feed.stop()
    this.#connections.delete(connection)
    if (this.#feeds.get(endpoint) === feed) this.#feeds.delete(endpoint)
  }

  /** An answer that names nothing it belongs to must not be read from a connection that is kept. */
  async #query (endpoint: ListedEndpoint, path: string, closesConnection = false): Promise<Result<Json, CallError>> {
    const abort = new AbortController()
    const timer = this.#options.clock.after(QUERY_TIMEOUT, () => abort.abort())
    try {
      const { statusCode, body } = await this.#agent.request({
        origin: originOf(endpoint.address), path, method: 'GET', signal: abort.signal, reset: closesConnection
      })
      const text = await readText(body)
      return statusCode === 200 ? Result.ok(parseBoundedJson(text) ?? null) : Result.err(queryError(`the endpoint answered ${statusCode}`))
    } catch (err) {
      return Result.err(queryError(err instanceof Error ? err.message : String(err)))
    } finally {
      timer.cancel()
    }
  }
}

const queryError = (detail: string): CallError => ({ outcome: 'failed', detail })

const orMalformed = <Value>(value: Value | undefined): Result<Value, CallError> =>
  value === undefined ? Result.err(queryError('the endpoint answered with an unexpected body')) : Result.ok(value)

import { readText } from '@papayahill/common'
import type { Clock, EventLog, Json, Millis } from '@papayahill/common'
import { boundedConnector } from '@papayahill/connections'
import { Result } from 'true-myth'
import { errors, Pool } from 'undici'
import { RESPONSE_TIMEOUT, CONNECT_TIMEOUT, MAX_CONNECTIONS, MAX_RESPONSE, IDLE_TIMEOUT } from './constants.js'
import { PLATFORM_EVENTS } from './events.js'

export interface HttpExchangeOptions {
  /** For example `http://127.0.0.1:9000`. */
  readonly origin: string
  readonly clock: Clock
  readonly log: EventLog
  /** Maximum wait for a response. */
  readonly timeout?: Millis
}

export interface HttpRequest {
  readonly method: 'GET' | 'POST' | 'PUT'
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: Json
}

export interface HttpResponse {
  readonly status: number
  readonly etag: string | undefined
  readonly retryAfter: string | undefined
  readonly text: string
}

/** `not-sent`: certainly without effect. `lost`: sent, but no complete response was received. */
export interface HttpError {
  readonly kind: 'not-sent' | 'lost'
  readonly detail: string
}

const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'
])

const codeOf = (err: unknown): string =>
  err instanceof Error && 'code' in err && typeof err.code === 'string' ? err.code : ''

const errorOf = (err: unknown): HttpError => {
  const detail = err instanceof Error ? err.message : String(err)
  const isNotSent = NOT_SENT_CODES.has(codeOf(err)) || err instanceof errors.ConnectTimeoutError
  return { kind: isNotSent ? 'not-sent' : 'lost', detail }
}

const headerOf = (value: string | string[] | undefined): string | undefined => Array.isArray(value) ? value[0] : value

/**
 * Sends single HTTP requests over a connection pool, with a timeout on the given clock.
 *
 * @example
 * const exchange = new HttpExchange({ origin: 'http://127.0.0.1:9000', clock, log })
 * await exchange.send({ method: 'GET', path: '/v1/instances' })
 */
export class HttpExchange {
  readonly #pool: Pool
  readonly #clock: Clock
  readonly #log: EventLog
  readonly #timeout: Millis
  readonly #origin: string
  #isReachable = true

  constructor (options: HttpExchangeOptions) {
    this.#clock = options.clock
    this.#log = options.log
    this.#timeout = options.timeout ?? RESPONSE_TIMEOUT
    this.#origin = options.origin
    this.#pool = new Pool(options.origin, {
      connections: MAX_CONNECTIONS,
      keepAliveTimeout: IDLE_TIMEOUT,
      connect: boundedConnector(MAX_RESPONSE, { timeout: CONNECT_TIMEOUT })
    })
  }

  async send (req: HttpRequest): Promise<Result<HttpResponse, HttpError>> {
    const abort = new AbortController()
    const timer = this.#clock.after(this.#timeout, () => abort.abort(new Error(`no response in ${this.#timeout} ms`)))
    try {
      const response = await this.#exchange(req, abort.signal)
      this.#reportReachability(true)
      return Result.ok(response)
    } catch (err) {
      this.#reportReachability(false)
      return Result.err(errorOf(err))
    } finally {
      timer.cancel()
    }
  }

  close (): Promise<void> {
    return this.#pool.destroy()
  }

  async #exchange (req: HttpRequest, signal: AbortSignal): Promise<HttpResponse> {
    const hasBody = req.body !== undefined
    const { statusCode, headers, body } = await this.#pool.request({
      method: req.method,
      path: req.path,
      headers: { ...req.headers, ...(hasBody ? { 'content-type': 'application/json' } : {}) },
      body: hasBody ? JSON.stringify(req.body) : null,
      signal
    })
    const text = await readText(body)
    return { status: statusCode, etag: headerOf(headers.etag), retryAfter: headerOf(headers['retry-after']), text }
  }

  #reportReachability (isReachable: boolean): void {
    if (isReachable === this.#isReachable) return
    this.#isReachable = isReachable
    const kind = isReachable ? PLATFORM_EVENTS.platformReachable : PLATFORM_EVENTS.platformUnreachable
    this.#log.emit(kind, { origin: this.#origin })
  }
}

import { isJsonObject, KEEP_ALIVE } from '@papayahill/common'
import type { Clock, Json, JsonObject } from '@papayahill/common'
import { Agent } from 'undici'
import { CliFailure } from './CliFailure.js'
import { ANSWER_TIMEOUT } from './constants.js'
import { EXIT_CODES } from './exitCodes.js'

export interface OperatorClientOptions {
  /** Operators' listeners of the instances; if one refuses the connection, the next is tried. */
  readonly origins: readonly string[]
  readonly token: string
  readonly clock: Clock
}

type Method = 'GET' | 'POST' | 'DELETE'

const isRefused = (err: unknown): boolean =>
  err instanceof Error && 'code' in err && (err.code === 'ECONNREFUSED' || err.code === 'UND_ERR_CONNECT_TIMEOUT')

const textOf = (value: Json | undefined): string => typeof value === 'string' ? value : ''

const failureFrom = (status: number, body: Json): CliFailure => {
  const problem: JsonObject = isJsonObject(body) ? body : {}
  const line = `${textOf(problem.title) || `the instance answered ${status}`}: ${textOf(problem.detail)} (request ${textOf(problem.request)})`
  return new CliFailure(line, status === 409 ? EXIT_CODES.conflict : EXIT_CODES.refused)
}

/**
 * HTTP client of the operators' API.
 *
 * @example
 * const client = new OperatorClient({ origins: ['http://127.0.0.1:8081'], token, clock })
 * await client.request('GET', '/v1/status')
 */
export class OperatorClient {
  readonly #options: OperatorClientOptions
  readonly #agent = new Agent({ connect: KEEP_ALIVE })

  constructor (options: OperatorClientOptions) {
    this.#options = options
  }

  async request (method: Method, path: string, body?: Json): Promise<Json> {
    for (const origin of this.#options.origins) {
      const answer = await this.#requestFrom(origin, method, path, body)
      if (answer !== undefined) return answer.body
    }
    const tried = this.#options.origins.join(', ')
    throw new CliFailure(`no instance accepts connections at ${tried}; name another with --operators`, EXIT_CODES.unreachable)
  }

  /** Sends the request to every instance and collects the answers of those that accept connections; fails like `request` if none does. */
  async requestAll (path: string): Promise<readonly Json[]> {
    const answers = await Promise.all(this.#options.origins.map((origin) => this.#requestFrom(origin, 'GET', path, undefined)))
    const received = answers.flatMap((answer) => answer === undefined ? [] : [answer.body])
    return received.length > 0 ? received : [await this.request('GET', path)]
  }

  close (): Promise<void> {
    return this.#agent.destroy()
  }

  /** Undefined if the connection was refused, so that trying another instance is safe. */
  async #requestFrom (origin: string, method: Method, path: string, body: Json | undefined): Promise<{ body: Json } | undefined> {
    const abort = new AbortController()
    const timer = this.#options.clock.after(ANSWER_TIMEOUT, () => abort.abort())
    try {
      return { body: await this.#exchange(origin, method, path, body, abort.signal) }
    } catch (err) {
      if (err instanceof CliFailure) throw err
      if (isRefused(err)) return undefined
      throw new CliFailure(`no answer from ${origin}; check with "papayahill status" before you retry`, EXIT_CODES.unreachable)
    } finally {
      timer.cancel()
    }
  }

  async #exchange (origin: string, method: Method, path: string, json: Json | undefined, signal: AbortSignal): Promise<Json> {
    const { statusCode, body } = await this.#agent.request({
      origin,
      path,
      method,
      signal,
      headers: {
        authorization: `Bearer ${this.#options.token}`,
        ...(json === undefined ? {} : { 'content-type': 'application/json' })
      },
      body: json === undefined ? null : JSON.stringify(json)
    })
    const answer = await body.json() as Json
    if (statusCode !== 200) throw failureFrom(statusCode, answer)
    return answer
  }
}

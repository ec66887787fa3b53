import { isJsonObject } from '@papayahill/common'
import type { Clock, Json, JsonObject } from '@papayahill/common'
import { Agent } from 'undici'
import { CliFailure } from './CliFailure.js'
import { ANSWER_TIMEOUT } from './constants.js'
import { EXIT_CODES } from './exitCodes.js'

export interface OperatorClientOptions {
  /** Operators' listeners of instances; the next is asked where one refuses the connection. */
  readonly origins: readonly string[]
  readonly token: string
  readonly clock: Clock
}

type Method = 'GET' | 'POST' | 'DELETE'

const isRefused = (err: unknown): boolean =>
  err instanceof Error && 'code' in err && (err.code === 'ECONNREFUSED' || err.code === 'UND_ERR_CONNECT_TIMEOUT')

const textOf = (value: Json | undefined): string => typeof value === 'string' ? value : ''

const failureOf = (status: number, body: Json): CliFailure => {
  const problem: JsonObject = isJsonObject(body) ? body : {}
  const line = `${textOf(problem.title) || `the instance answered ${status}`}: ${textOf(problem.detail)} (request ${textOf(problem.request)})`
  return new CliFailure(line, status === 409 ? EXIT_CODES.conflict : EXIT_CODES.refused)
}

/**
 * Asks an instance on behalf of an operator.
 *
 * @example
 * const client = new OperatorClient({ origins: ['http://127.0.0.1:8081'], token, clock })
 * await client.ask('GET', '/v1/status')
 */
export class OperatorClient {
  readonly #options: OperatorClientOptions
  readonly #agent = new Agent()

  constructor (options: OperatorClientOptions) {
    this.#options = options
  }

  async ask (method: Method, path: string, body?: Json): Promise<Json> {
    for (const origin of this.#options.origins) {
      const answer = await this.#askOne(origin, method, path, body)
      if (answer !== undefined) return answer.body
    }
    const tried = this.#options.origins.join(', ')
    throw new CliFailure(`no instance takes connections at ${tried}; give another with --operators`, EXIT_CODES.unreachable)
  }

  /** Asks every instance that takes connections. */
  async askAll (path: string): Promise<readonly Json[]> {
    const answers = await Promise.all(this.#options.origins.map((origin) => this.#askOne(origin, 'GET', path, undefined)))
    const given = answers.flatMap((answer) => answer === undefined ? [] : [answer.body])
    return given.length > 0 ? given : [await this.ask('GET', path)]
  }

  close (): Promise<void> {
    return this.#agent.destroy()
  }

  /** Undefined where the connection was refused, so that asking elsewhere is safe. */
  async #askOne (origin: string, method: Method, path: string, body: Json | undefined): Promise<{ body: Json } | undefined> {
    const abort = new AbortController()
    const timer = this.#options.clock.after(ANSWER_TIMEOUT, () => abort.abort())
    try {
      return { body: await this.#exchange(origin, method, path, body, abort.signal) }
    } catch (err) {
      if (err instanceof CliFailure) throw err
      if (isRefused(err)) return undefined
      throw new CliFailure(`no answer from ${origin}; look with "papayahill status" before you repeat it`, EXIT_CODES.unreachable)
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
    if (statusCode !== 200) throw failureOf(statusCode, answer)
    return answer
  }
}

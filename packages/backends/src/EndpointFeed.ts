import { parseJson } from '@papayahill/common'
import type { Clock, Timer } from '@papayahill/common'
import type { CacheEvent, LoadReport } from '@papayahill/endpoints'
import { createParser } from 'eventsource-parser'
import type { EventSourceMessage } from 'eventsource-parser'
import type { Dispatcher } from 'undici'
import { FEED_RETRY } from './constants.js'
import { readCacheEvent, readReport } from './readReport.js'

export interface EndpointFeedOptions {
  readonly origin: string
  readonly clock: Clock
  readonly dispatcher: Dispatcher
  readonly onReport: (report: LoadReport) => void
  readonly onCacheEvent: (event: CacheEvent) => void
}

/**
 * Subscribes to the reports and cache events that an endpoint pushes, until stopped; reconnects when the feed is lost.
 *
 * @example
 * const feed = new EndpointFeed({ origin, clock, dispatcher, onReport, onCacheEvent })
 * feed.start()
 */
export class EndpointFeed {
  readonly #options: EndpointFeedOptions
  readonly #abort = new AbortController()
  #timer: Timer | undefined

  constructor (options: EndpointFeedOptions) {
    this.#options = options
  }

  start (): void {
    void this.#listen()
  }

  stop (): void {
    this.#abort.abort()
    this.#timer?.cancel()
  }

  async #listen (): Promise<void> {
    const shouldRetry = await this.#read().catch(() => true)
    if (shouldRetry && !this.#abort.signal.aborted) this.#timer = this.#options.clock.after(FEED_RETRY, () => this.start())
  }

  /** Reads the feed until it ends; false if the endpoint has no feed. */
  async #read (): Promise<boolean> {
    const { origin, dispatcher } = this.#options
    const { statusCode, body } = await dispatcher.request({
      origin, path: '/v1/events', method: 'GET', signal: this.#abort.signal, bodyTimeout: 0
    })
    if (statusCode !== 200) {
      await body.dump()
      return statusCode >= 500
    }
    const parser = createParser({ onEvent: (event) => this.#handleEvent(event) })
    const decoder = new TextDecoder()
    for await (const part of body) parser.feed(decoder.decode(part as Buffer, { stream: true }))
    return true
  }

  #handleEvent (event: EventSourceMessage): void {
    const data = parseJson(event.data) ?? null
    const report = event.event === 'report' ? readReport(data) : undefined
    if (report !== undefined) this.#options.onReport(report)
    const cacheEvent = event.event === 'cache' ? readCacheEvent(data) : undefined
    if (cacheEvent !== undefined) this.#options.onCacheEvent(cacheEvent)
  }
}

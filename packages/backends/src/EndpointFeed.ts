import { parseBoundedJson } from '@papayahill/common'
import type { Clock, Timer } from '@papayahill/common'
import { EndpointSocket, newStopper, stopExchange } from '@papayahill/connections'
import type { Stopper } from '@papayahill/connections'
import type { CacheEvent, LoadReport } from '@papayahill/endpoints'
import type { EventSourceMessage } from 'eventsource-parser'
import { FEED_RETRY } from './constants.js'
import { EventReader } from './EventReader.js'
import { readCacheEvent, readReport } from './readReport.js'

const STATUS_OK = 200
const FIRST_SERVER_ERROR = 500

export interface EndpointFeedOptions {
  readonly origin: string
  readonly clock: Clock
  readonly onReport: (report: LoadReport) => void
  readonly onCacheEvent: (event: CacheEvent) => void
}

/**
 * Subscribes to the reports and cache events that an endpoint pushes, until stopped; reconnects when the feed is lost.
 *
 * @example
 * const feed = new EndpointFeed({ origin, clock, onReport, onCacheEvent })
 * feed.start()
 */
export class EndpointFeed {
  readonly #options: EndpointFeedOptions
  #stopper: Stopper = newStopper()
  #isStopped = false
  #timer: Timer | undefined

  constructor (options: EndpointFeedOptions) {
    this.#options = options
  }

  start (): void {
    void this.#listen()
  }

  stop (): void {
    this.#isStopped = true
    stopExchange(this.#stopper)
    this.#timer?.cancel()
  }

  async #listen (): Promise<void> {
    const status = await this.#read()
    const hasFeed = status === undefined || status === STATUS_OK || status >= FIRST_SERVER_ERROR
    if (hasFeed && !this.#isStopped) this.#timer = this.#options.clock.after(FEED_RETRY, () => this.start())
  }

  /** Reads the feed until it ends; the status of its answer, undefined if there was none. */
  async #read (): Promise<number | undefined> {
    const socket = new EndpointSocket(this.#options.origin)
    const stopper = newStopper()
    this.#stopper = stopper
    const reader = new EventReader((event) => this.#handleEvent(event))
    let status: number | undefined
    await socket.exchange({ method: 'GET', path: '/v1/events', headers: {} }, {
      onStart: (answer) => { status = answer.status },
      onData: (data) => { if (status !== STATUS_OK || !reader.feed(data)) stopExchange(stopper) }
    }, stopper)
    socket.close()
    return status
  }

  /** Whether the event could be used. */
  #handleEvent (event: EventSourceMessage): boolean {
    const data = parseBoundedJson(event.data) ?? null
    const report = event.event === 'report' ? readReport(data) : undefined
    if (report !== undefined) this.#options.onReport(report)
    const cacheEvent = event.event === 'cache' ? readCacheEvent(data) : undefined
    if (cacheEvent !== undefined) this.#options.onCacheEvent(cacheEvent)
    return report !== undefined || cacheEvent !== undefined
  }
}

import type { Clock, Timer } from '@papayahill/common'
import { millis } from '@papayahill/common'
import type { FakeEndpoint } from '../FakeEndpoint.js'
import type { StandInHandler, StandInResponse } from './HttpStandIn.js'

const PUSH_PERIOD = millis(500)

/** Pushes load reports and cache events to all subscribers, as server-sent events. */
export class EventFeed {
  readonly #endpoint: FakeEndpoint
  readonly #subscribers = new Set<StandInResponse>()
  readonly #timer: Timer

  constructor (endpoint: FakeEndpoint, clock: Clock) {
    this.#endpoint = endpoint
    this.#timer = clock.every(PUSH_PERIOD, () => this.#pushReport())
    endpoint.onCacheEvent((event) => this.#push('cache', event))
  }

  readonly handle: StandInHandler = (_req, res) => {
    res.writeHead(200, { 'content-type': 'text/event-stream' })
    res.flushHeaders()
    this.#subscribers.add(res)
    res.on('close', () => this.#subscribers.delete(res))
  }

  close (): void {
    this.#timer.cancel()
  }

  #pushReport (): void {
    if (this.#subscribers.size === 0 || this.#endpoint.faults.isSilent || !this.#endpoint.isAlive) return
    this.#push('report', this.#endpoint.report())
  }

  #push (event: string, data: unknown): void {
    for (const res of this.#subscribers) res.write(`event: ${event}\ndata: ${JSON.stringify(data)}\n\n`)
  }
}

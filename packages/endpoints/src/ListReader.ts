import { millis } from '@papayahill/common'
import type { Clock, EndpointId, EventLog, Random, Timer } from '@papayahill/common'
import type { InstanceList, ListedEndpoint } from '@papayahill/stores'
import { LIST_PERIOD, PERIOD_JITTER } from './constants.js'
import { ENDPOINTS_EVENTS } from './events.js'

/** If the list loses more than this share of its endpoints at once, the loss must be confirmed by further reads. */
const MAX_UNCONFIRMED_LOSS = 0.5
/** Consecutive reads that confirm such a loss. */
const CONFIRMING_READS = 4

export interface ListReaderOptions {
  readonly clock: Clock
  readonly random: Random
  readonly list: InstanceList
  readonly log: EventLog
  /** `gone` are endpoints that the list no longer shows, once their removal is confirmed. */
  readonly onRead: (endpoints: readonly ListedEndpoint[], gone: readonly EndpointId[]) => void
}

/**
 * Reads the platform's instance list, which lags behind. Additions and leaving states are applied at once; a sudden
 * loss of most endpoints must be confirmed by several reads, and an empty list removes nothing.
 *
 * @example
 * const reader = new ListReader({ clock, random, list, log, onRead })
 * reader.start()
 */
export class ListReader {
  readonly #options: ListReaderOptions
  #known: readonly EndpointId[] = []
  #lossReads = 0
  #timer: Timer | undefined
  #isStopped = true

  constructor (options: ListReaderOptions) {
    this.#options = options
  }

  start (): void {
    this.#isStopped = false
    this.#step()
  }

  stop (): void {
    this.#isStopped = true
    this.#timer?.cancel()
  }

  /** Reads at once, in addition to the periodic reads. */
  async readNow (): Promise<void> {
    const { list, log, onRead } = this.#options
    const answer = await list.list()
    if (this.#isStopped) return
    if (answer.isErr) return log.emit(ENDPOINTS_EVENTS.listUnreadable, { cause: answer.error.kind })
    const { endpoints } = answer.value
    const gone = this.#confirmedGone(endpoints)
    const shown = endpoints.map((endpoint) => endpoint.id)
    this.#known = [...new Set([...this.#known, ...shown])].filter((id) => !gone.includes(id))
    onRead(endpoints, gone)
  }

  #step (): void {
    if (this.#isStopped) return
    void this.readNow()
    const period = LIST_PERIOD * (1 + PERIOD_JITTER * (this.#options.random.next() - 0.5))
    this.#timer = this.#options.clock.after(millis(period), () => this.#step())
  }

  #confirmedGone (endpoints: readonly ListedEndpoint[]): readonly EndpointId[] {
    const shown = new Set(endpoints.map((endpoint) => endpoint.id))
    const gone = this.#known.filter((id) => !shown.has(id))
    if (shown.size === 0) return []
    if (gone.length <= this.#known.length * MAX_UNCONFIRMED_LOSS) {
      this.#lossReads = 0
      return gone
    }
    this.#lossReads++
    if (this.#lossReads >= CONFIRMING_READS) return gone
    this.#options.log.emit(ENDPOINTS_EVENTS.listDistrusted, { shown: shown.size, gone: gone.length })
    return []
  }
}

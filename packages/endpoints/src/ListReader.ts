import { millis } from '@papayahill/common'
import type { Clock, EndpointId, EventLog, Random, Timer } from '@papayahill/common'
import type { InstanceList, ListedEndpoint } from '@papayahill/stores'
import { LIST_PERIOD, PERIOD_JITTER } from './constants.js'
import { ENDPOINTS_EVENTS } from './events.js'

/** A list that lost more than this share of its endpoints at once is not believed at first sight. */
const BELIEVED_LOSS = 0.5
/** Reads in a row that confirm a great loss. */
const CONFIRMING_READS = 4

export interface ListReaderOptions {
  readonly clock: Clock
  readonly random: Random
  readonly list: InstanceList
  readonly log: EventLog
  /** `gone` are endpoints that the list no longer shows, once that is believed. */
  readonly onRead: (endpoints: readonly ListedEndpoint[], gone: readonly EndpointId[]) => void
}

/**
 * Reads the platform's lagging list. What it adds or marks as leaving is taken at once; a sudden loss of
 * most endpoints must be read several times, and an empty list removes nothing.
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

  /** Reads at once, beside the periodic reads. */
  async readNow (): Promise<void> {
    const { list, log, onRead } = this.#options
    const answer = await list.list()
    if (this.#isStopped) return
    if (answer.isErr) return log.emit(ENDPOINTS_EVENTS.listUnreadable, { cause: answer.error.kind })
    const { endpoints } = answer.value
    const gone = this.#believedGone(endpoints)
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

  #believedGone (endpoints: readonly ListedEndpoint[]): readonly EndpointId[] {
    const shown = new Set(endpoints.map((endpoint) => endpoint.id))
    const gone = this.#known.filter((id) => !shown.has(id))
    if (shown.size === 0) return []
    if (gone.length <= this.#known.length * BELIEVED_LOSS) {
      this.#lossReads = 0
      return gone
    }
    this.#lossReads++
    if (this.#lossReads >= CONFIRMING_READS) return gone
    this.#options.log.emit(ENDPOINTS_EVENTS.listDistrusted, { shown: shown.size, gone: gone.length })
    return []
  }
}

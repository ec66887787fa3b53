import type { EventFields, EventLog } from '@papayahill/common'
import { HEAP_SHARE_MARGIN, LOGGED_HEAP_SHARES } from './constants.js'
import { LOGGING_EVENTS } from './events.js'

/** Use of the heap, in bytes. */
export interface HeapUse {
  readonly used: number
  /** The process ends when it needs more. */
  readonly limit: number
}

export interface HeapWatchOptions {
  readonly log: EventLog
  readonly read: () => HeapUse
  /** Counts of what the process holds, by which the cause of a high use can be told. */
  readonly held: () => EventFields
}

const BYTES_PER_MEGABYTE = 1_048_576

const inMegabytes = (bytes: number): number => Math.round(bytes / BYTES_PER_MEGABYTE)

/**
 * Logs when the heap comes close to its limit, with what the process holds.
 *
 * @example
 * const watch = new HeapWatch({ log, read: readHeap, held: () => ({ requests: forwarder.running }) })
 * clock.every(seconds(1), () => watch.check())
 */
export class HeapWatch {
  readonly #options: HeapWatchOptions
  /** Number of the shares that were reached. */
  #reached = 0

  constructor (options: HeapWatchOptions) {
    this.#options = options
  }

  check (): void {
    const { read } = this.#options
    const use = read()
    const share = use.used / use.limit
    const reached = LOGGED_HEAP_SHARES.filter((from) => share >= from).length
    if (reached > this.#reached) this.#logHigh(use)
    const isWellBelow = reached === 0 && share < LOGGED_HEAP_SHARES[0]! - HEAP_SHARE_MARGIN
    if (isWellBelow && this.#reached > 0) this.#logNormal(use)
    this.#reached = isWellBelow ? 0 : Math.max(this.#reached, reached)
  }

  #logHigh ({ used, limit }: HeapUse): void {
    const { log, held } = this.#options
    log.emit(LOGGING_EVENTS.heapHigh, { ...held(), usedMb: inMegabytes(used), limitMb: inMegabytes(limit) })
  }

  #logNormal ({ used, limit }: HeapUse): void {
    this.#options.log.emit(LOGGING_EVENTS.heapNormal, { usedMb: inMegabytes(used), limitMb: inMegabytes(limit) })
  }
}

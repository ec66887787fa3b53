import { bytes, millis } from '@papayahill/common'
import type { Bytes, Millis } from '@papayahill/common'
import { FOREIGN_RESULT_TTL } from './constants.js'

/** Estimates how much of an endpoint's memory other instances' results use, from its last rejection for lack of memory. */
export class ForeignResults {
  #size: Bytes = bytes(0)
  #recordedAt: Millis = millis(0)

  record (size: Bytes, now: Millis): void {
    this.#size = size
    this.#recordedAt = now
  }

  /** Estimated bytes still held; falls linearly, as their owners read and free them. */
  sizeAt (now: Millis): Bytes {
    const share = Math.max(0, 1 - (now - this.#recordedAt) / FOREIGN_RESULT_TTL)
    return bytes(this.#size * share)
  }
}

import { bytes, millis } from '@papayahill/common'
import type { Bytes, Millis } from '@papayahill/common'
import { FOREIGN_LIFE } from './constants.js'

/** Room at an endpoint that results take which this instance knows nothing of, as its last refusal showed. */
export class ForeignResults {
  #size: Bytes = bytes(0)
  #notedAt: Millis = millis(0)

  note (size: Bytes, now: Millis): void {
    this.#size = size
    this.#notedAt = now
  }

  /** What is left of them; they are read and freed with time. */
  at (now: Millis): Bytes {
    const share = Math.max(0, 1 - (now - this.#notedAt) / FOREIGN_LIFE)
    return bytes(this.#size * share)
  }
}

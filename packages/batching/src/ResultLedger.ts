import { bytes, millis } from '@papayahill/common'
import type { Bytes, Millis } from '@papayahill/common'

interface HeldResult {
  readonly size: Bytes
  readonly expiresAt: Millis
}

/** Results that one endpoint holds from this instance's calls, and the sum of their sizes. */
export class ResultLedger {
  /** In the order in which they were made, which is that in which they expire. */
  readonly #results = new Map<string, HeldResult>()
  #used = 0

  add (handle: string, size: Bytes, now: Millis, ttl: Millis): void {
    this.free(handle)
    this.#results.set(handle, { size, expiresAt: millis(now + ttl) })
    this.#used += size
  }

  free (handle: string): void {
    const result = this.#results.get(handle)
    if (result === undefined) return
    this.#results.delete(handle)
    this.#used -= result.size
  }

  /** Bytes held at `now`; drops expired results. */
  usedBytes (now: Millis): Bytes {
    for (const [handle, { expiresAt }] of this.#results) {
      if (expiresAt > now) break
      this.free(handle)
    }
    return bytes(this.#used)
  }
}

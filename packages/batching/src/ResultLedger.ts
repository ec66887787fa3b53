import { bytes, millis } from '@papayahill/common'
import type { Bytes, Millis } from '@papayahill/common'

interface HeldResult {
  readonly size: Bytes
  readonly until: Millis
}

/** Results that lie at one endpoint, as far as this instance had them made. */
export class ResultLedger {
  readonly #held = new Map<string, HeldResult>()

  add (handle: string, size: Bytes, now: Millis, life: Millis): void {
    this.#held.set(handle, { size, until: millis(now + life) })
  }

  free (handle: string): void {
    this.#held.delete(handle)
  }

  /** Bytes that are held now. */
  used (now: Millis): Bytes {
    let used = 0
    for (const [handle, { size, until }] of this.#held) {
      if (until <= now) this.#held.delete(handle)
      else used += size
    }
    return bytes(used)
  }
}

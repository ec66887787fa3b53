import { millis } from '@papayahill/common'
import type { EndpointIncarnation, Millis } from '@papayahill/common'
import { HANDOVER_MARGIN } from './constants.js'
import type { SlotLedger } from './SlotLedger.js'

/** One call that this instance has under way at an endpoint. */
export interface RunningCall {
  readonly incarnation: EndpointIncarnation
  readonly startedAt: Millis
  /** Set where it runs on a slot of a cold life. */
  readonly slot?: { readonly ledger: SlotLedger, readonly index: number }
}

/**
 * The calls that one instance has under way at one endpoint, oldest first, and how they stand to the
 * newest report.
 *
 * @example
 * const calls = new CallSet()
 * calls.add({ incarnation, startedAt: clock.now() })
 * calls.reported(askedAt)
 */
export class CallSet {
  readonly #calls = new Set<RunningCall>()
  #reportAskedAt = millis(-Infinity)
  #sinceReport = 0

  get size (): number {
    return this.#calls.size
  }

  /** Calls started since the newest report was asked for. */
  get sinceReport (): number {
    return this.#sinceReport
  }

  get oldest (): RunningCall | undefined {
    const [oldest] = this.#calls
    return oldest
  }

  add (call: RunningCall): void {
    this.#calls.add(call)
    this.#sinceReport++
  }

  /** False where the call had ended already. */
  delete (call: RunningCall): boolean {
    const isHere = this.#calls.delete(call)
    if (isHere && call.startedAt >= this.#reportAskedAt) this.#sinceReport = Math.max(0, this.#sinceReport - 1)
    return isHere
  }

  /** A report that was asked for at `askedAt` is the newest now. */
  reported (askedAt: Millis): void {
    this.#reportAskedAt = askedAt
    this.#sinceReport = this.#count((call) => call.startedAt >= askedAt)
  }

  /** Calls that are surely in a report asked for at `askedAt`. */
  surelyIn (askedAt: Millis): number {
    return this.#count((call) => call.startedAt + HANDOVER_MARGIN <= askedAt)
  }

  /** Calls begun in other lives of the endpoint than this one. */
  notOf (incarnation: EndpointIncarnation | undefined): number {
    return this.#count((call) => call.incarnation !== incarnation)
  }

  #count (isCounted: (call: RunningCall) => boolean): number {
    let count = 0
    for (const call of this.#calls) if (isCounted(call)) count++
    return count
  }
}

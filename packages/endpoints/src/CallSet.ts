import { millis } from '@papayahill/common'
import type { EndpointIncarnation, Millis } from '@papayahill/common'
import { CALL_REPORT_MARGIN } from './constants.js'
import type { SlotLedger } from './SlotLedger.js'

/** One call of this instance in progress at an endpoint. */
export interface RunningCall {
  readonly incarnation: EndpointIncarnation
  readonly startedAt: Millis
  /** Set where it occupies a slot of a cold endpoint. */
  readonly slot?: { readonly ledger: SlotLedger, readonly index: number }
}

/**
 * The calls of one instance in progress at one endpoint, oldest first, and how many of them the newest report covers.
 *
 * @example
 * const calls = new CallSet()
 * calls.add({ incarnation, startedAt: clock.now() })
 * calls.noteReport(askedAt)
 */
export class CallSet {
  readonly #calls = new Set<RunningCall>()
  #reportAskedAt = millis(-Infinity)
  #startedSinceReport = 0

  get size (): number {
    return this.#calls.size
  }

  /** Calls started since the newest report was requested. */
  get startedSinceReport (): number {
    return this.#startedSinceReport
  }

  get oldest (): RunningCall | undefined {
    const [oldest] = this.#calls
    return oldest
  }

  add (call: RunningCall): void {
    this.#calls.add(call)
    this.#startedSinceReport++
  }

  /** Returns false if the call had already ended. */
  delete (call: RunningCall): boolean {
    const wasRunning = this.#calls.delete(call)
    if (wasRunning && call.startedAt >= this.#reportAskedAt) this.#startedSinceReport = Math.max(0, this.#startedSinceReport - 1)
    return wasRunning
  }

  /** Records that the newest report is one requested at `askedAt`. */
  noteReport (askedAt: Millis): void {
    this.#reportAskedAt = askedAt
    this.#startedSinceReport = this.#count((call) => call.startedAt >= askedAt)
  }

  /** Number of calls that are certainly included in a report requested at `askedAt`. */
  countCertainlyIn (askedAt: Millis): number {
    return this.#count((call) => call.startedAt + CALL_REPORT_MARGIN <= askedAt)
  }

  /** Number of calls started in other incarnations of the endpoint. */
  countOtherIncarnations (incarnation: EndpointIncarnation | undefined): number {
    return this.#count((call) => call.incarnation !== incarnation)
  }

  #count (isCounted: (call: RunningCall) => boolean): number {
    let count = 0
    for (const call of this.#calls) if (isCounted(call)) count++
    return count
  }
}

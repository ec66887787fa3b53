import { millis } from '@papayahill/common'
import type { Clock, Millis } from '@papayahill/common'
import type { AttemptId, ClaimRecord } from './claimRecord.js'
import { DISPATCH_LEASE, MAX_WAITERS } from './constants.js'
import type { ClaimOutcome } from './types.js'

/** How an attempt ended: with an outcome, not sent, or sent without a known outcome. */
export type AttemptEnd =
  | { readonly kind: 'outcome', readonly outcome: ClaimOutcome }
  | { readonly kind: 'not-sent' }
  | { readonly kind: 'lost' }

type AttemptState = 'claiming' | 'held' | 'sent' | AttemptEnd['kind']

/**
 * An attempt of this instance, from before its claim is written until its end is in the store. Other attempts may
 * run the request only once this one has ended as not sent, after which it can no longer be sent.
 */
export class LocalAttempt {
  readonly id: AttemptId
  readonly record: ClaimRecord
  /** Version of the claim's row, once it is written. */
  version = 0
  readonly #clock: Clock
  readonly #startedAt: Millis
  readonly #waiters = new Set<(end: AttemptEnd) => void>()
  #state: AttemptState = 'claiming'
  #end: AttemptEnd | undefined

  constructor (clock: Clock, record: ClaimRecord) {
    this.#clock = clock
    this.#startedAt = clock.now()
    this.id = record.attempt
    this.record = record
  }

  get end (): AttemptEnd | undefined {
    return this.#end
  }

  /** Called once the claim is written; the request may be sent until the lease expires. */
  confirmClaim (version: number): void {
    this.version = version
    if (this.#state === 'claiming') this.#state = 'held'
  }

  /** Whether the lease, which starts with the claim's write, has expired. */
  get isLapsed (): boolean {
    return this.#clock.now() - this.#startedAt > DISPATCH_LEASE
  }

  /** Claimed, but not sent before its lease expired. */
  get isAbandoned (): boolean {
    return this.#state === 'held' && this.isLapsed
  }

  /** Marks the request as sent; false if it must not be sent. */
  dispatch (): boolean {
    if (this.#state !== 'held' || this.isLapsed) return false
    this.#state = 'sent'
    return true
  }

  /** Ends the attempt. Only the first end counts, except that an outcome may follow `lost`. */
  finish (end: AttemptEnd): boolean {
    if (this.#end !== undefined && !(this.#end.kind === 'lost' && end.kind === 'outcome')) return false
    this.#end = end
    this.#state = end.kind
    for (const wake of this.#waiters) wake(end)
    this.#waiters.clear()
    return true
  }

  /** The end; undefined if it does not come in time or there are too many waiters. */
  async whenEnded (limit: Millis): Promise<AttemptEnd | undefined> {
    if (this.#end !== undefined) return this.#end
    if (limit <= 0 || this.#waiters.size >= MAX_WAITERS) return undefined
    return await new Promise((resolve) => {
      const wake = (end: AttemptEnd): void => {
        timer.cancel()
        resolve(end)
      }
      const timer = this.#clock.after(millis(limit), () => {
        this.#waiters.delete(wake)
        resolve(undefined)
      })
      this.#waiters.add(wake)
    })
  }
}

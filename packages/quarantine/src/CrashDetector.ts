import type { Millis } from '@papayahill/common'
import { CONFIRMATION_TIMEOUT, MAX_PENDING_CRASHES, MAX_REPORTED_PARTS, MAX_REPORTED_REQUESTS } from './constants.js'
import type { RequestParts, ScopedIncarnation } from './types.js'

/** Calls of this instance that were lost with one incarnation of an endpoint before their answers began. */
export interface LostCalls {
  readonly incarnation: ScopedIncarnation
  readonly requests: readonly RequestParts[]
  readonly lostAt: Millis
}

interface PendingLoss {
  readonly incarnation: ScopedIncarnation
  readonly requests: RequestParts[]
  readonly lostAt: Millis
  isCrash: boolean
}

/**
 * Tells the crash of an endpoint from a connection that was only lost: calls that end with their connections count once
 * there is a sign that the incarnation has ended, such as a refused connection, a successor, or another instance's report.
 *
 * @example
 * detector.noteLoss(incarnation, ['first', 'rare'], now)
 * detector.confirm(incarnation.incarnation) // { incarnation, requests: [['first', 'rare']], lostAt }
 */
export class CrashDetector {
  readonly #pending = new Map<string, PendingLoss>()

  /** Records a lost call; returns the incarnation's lost calls if it is already known to have crashed. */
  noteLoss (incarnation: ScopedIncarnation, parts: RequestParts, now: Millis): LostCalls | undefined {
    this.#dropOld(now)
    const key = incarnation.incarnation
    const pending = this.#pending.get(key) ?? { incarnation, requests: [], lostAt: now, isCrash: false }
    this.#pending.set(key, pending)
    if (pending.requests.length < MAX_REPORTED_REQUESTS) pending.requests.push(parts.slice(-MAX_REPORTED_PARTS))
    return pending.isCrash ? pending : undefined
  }

  /** The incarnation has ended; returns the calls that were lost with it, unless they were returned before. */
  confirm (incarnation: string): LostCalls | undefined {
    const pending = this.#pending.get(incarnation)
    if (pending === undefined || pending.isCrash) return undefined
    pending.isCrash = true
    return pending
  }

  /** The calls that were lost with an incarnation, as long as they are remembered. */
  requestsOf (incarnation: string): readonly RequestParts[] | undefined {
    return this.#pending.get(incarnation)?.requests
  }

  /** The incarnation answered a call that was sent after others had been lost: only their connections were lost. */
  dismiss (incarnation: string, sentAt: Millis): void {
    const pending = this.#pending.get(incarnation)
    if (pending !== undefined && pending.lostAt < sentAt) this.#pending.delete(incarnation)
  }

  #dropOld (now: Millis): void {
    for (const [key, { lostAt }] of this.#pending) {
      if (now - lostAt < CONFIRMATION_TIMEOUT && this.#pending.size <= MAX_PENDING_CRASHES) return
      this.#pending.delete(key)
    }
  }
}

import type { Millis } from '@papayahill/common'
import { CONFIRMATION_TIMEOUT, MAX_PENDING_CRASHES, MAX_REPORTED_PARTS, MAX_REPORTED_REQUESTS } from './constants.js'
import type { RequestParts, ScopedIncarnation } from './types.js'

/** Calls of this instance that were lost with one incarnation of an endpoint before their answers began. */
export interface LostCalls {
  readonly incarnation: ScopedIncarnation
  /** Monotonic time of the first sign of the crash. */
  readonly since: Millis
  readonly requests: readonly RequestParts[]
}

/** What is known of one incarnation: calls that were lost, a sign that it has ended, or both. */
interface Suspicion {
  readonly since: Millis
  incarnation: ScopedIncarnation | undefined
  readonly requests: RequestParts[]
  hasEnded: boolean
}

/**
 * Tells the crash of an endpoint from a connection that was only lost: calls that end with their connections count together
 * with a sign that the incarnation has ended, such as a refused connection, a successor, or another instance's report. Either
 * may come first.
 *
 * @example
 * detector.noteLoss(incarnation, ['first', 'rare'], now)
 * detector.confirm(incarnation.incarnation, now) // { incarnation, requests: [['first', 'rare']] }
 */
export class CrashDetector {
  readonly #suspicions = new Map<string, Suspicion>()

  /** Records a lost call; returns the incarnation's lost calls if it is already known to have ended. */
  noteLoss (incarnation: ScopedIncarnation, parts: RequestParts, now: Millis): LostCalls | undefined {
    const suspicion = this.#suspicionOf(incarnation.incarnation, now)
    suspicion.incarnation = incarnation
    if (suspicion.requests.length < MAX_REPORTED_REQUESTS) suspicion.requests.push(parts.slice(-MAX_REPORTED_PARTS))
    return suspicion.hasEnded ? lostCallsOf(suspicion) : undefined
  }

  /** The incarnation has ended; returns the calls that were lost with it, unless they were returned before. */
  confirm (incarnation: string, now: Millis): LostCalls | undefined {
    const suspicion = this.#suspicionOf(incarnation, now)
    if (suspicion.hasEnded) return undefined
    suspicion.hasEnded = true
    return lostCallsOf(suspicion)
  }

  /** The calls that were lost with an incarnation, as long as they are remembered. */
  requestsOf (incarnation: string): readonly RequestParts[] | undefined {
    return this.#suspicions.get(incarnation)?.requests
  }

  /** The incarnation answered a call that was sent after others had been lost: only their connections were lost. */
  dismiss (incarnation: string, sentAt: Millis): void {
    const suspicion = this.#suspicions.get(incarnation)
    if (suspicion !== undefined && suspicion.since < sentAt) this.#suspicions.delete(incarnation)
  }

  #suspicionOf (incarnation: string, now: Millis): Suspicion {
    this.#dropOld(now)
    const known = this.#suspicions.get(incarnation)
    if (known !== undefined) return known
    const suspicion: Suspicion = { since: now, incarnation: undefined, requests: [], hasEnded: false }
    this.#suspicions.set(incarnation, suspicion)
    return suspicion
  }

  #dropOld (now: Millis): void {
    for (const [key, { since }] of this.#suspicions) {
      if (now - since < CONFIRMATION_TIMEOUT && this.#suspicions.size < MAX_PENDING_CRASHES) return
      this.#suspicions.delete(key)
    }
  }
}

const lostCallsOf = ({ incarnation, since, requests }: Suspicion): LostCalls | undefined =>
  incarnation === undefined ? undefined : { incarnation, since, requests }

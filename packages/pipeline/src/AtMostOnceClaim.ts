import { failure, millis, RunGuard } from '@papayahill/common'
import type { Clock, Failure, IdempotencyKey, Json, Millis, ServiceId } from '@papayahill/common'
import type { ClaimAttempt, ClaimOutcome, ClaimRequest, Claims } from '@papayahill/claims'
import { Result } from 'true-myth'
import { RECORD_TIMEOUT } from './constants.js'
import type { CallerRequest } from './types.js'

/** What a claim permits: to send the request, or a final answer without sending it. */
export type Permit =
  | { readonly kind: 'send' }
  | { readonly kind: 'replay', readonly body: Json }
  | { readonly kind: 'refuse', readonly failure: Failure }

const SEND: Permit = { kind: 'send' }

export interface AtMostOnceClaimOptions {
  readonly clock: Clock
  readonly claims: Claims
  readonly request: CallerRequest
  readonly service: ServiceId
}

/**
 * Limits a request that may not be repeated to at most one run, and makes sure that "not run" holds for its key.
 * A request without a key uses its own id as key, which no other request can use.
 *
 * @example
 * const permit = await claim.begin(millis(2000))
 * if (permit.kind === 'send' && claim.dispatch()) await send()
 */
export class AtMostOnceClaim {
  readonly #options: AtMostOnceClaimOptions
  #guard = new RunGuard()
  #attempt: ClaimAttempt | undefined

  constructor (options: AtMostOnceClaimOptions) {
    this.#options = options
    const { claims, request: { workspace, key, id } } = options
    if (key !== undefined) claims.noteArrival?.({ workspace, key, request: id })
  }

  get isDispatched (): boolean {
    return this.#guard.isDispatched
  }

  /** The key that is sent with each call. */
  get key (): IdempotencyKey {
    const { request } = this.#options
    return request.key ?? request.id as string as IdempotencyKey
  }

  /** Acquires the claim, or returns the outcome of an earlier request with the key. */
  async begin (maxWait: Millis): Promise<Permit> {
    const { claims, request } = this.#options
    if (request.key === undefined || this.#attempt !== undefined) return SEND
    const decision = await claims.begin(this.#claimRequest(request.key, maxWait))
    if (decision.kind === 'refuse') return decision
    if (decision.kind === 'replay') return permitOfOutcome(decision.outcome)
    this.#attempt = decision.attempt
    return SEND
  }

  /** Call this in the event loop iteration that sends the first byte; false means that it must not be sent. */
  dispatch (): boolean {
    if (this.#guard.isDispatched) return true
    if (this.#attempt !== undefined && !this.#attempt.dispatch()) return false
    this.#guard.dispatched()
    return true
  }

  /** Releases the claim, since no byte was sent; true if another attempt may claim the key again. */
  async markNotSent (): Promise<boolean> {
    const isReleased = await this.#attempt?.markNotSent() ?? true
    this.#attempt = undefined
    if (isReleased) this.#guard = new RunGuard()
    else this.#guard.dispatched()
    return isReleased
  }

  /**
   * Refuses the request with an answer that holds for its key: reads the claim, so that "not run" is reported only if
   * nothing ran under the key, and returns the outcome of an earlier run if there is one.
   */
  async refuse (cause: Failure): Promise<Permit> {
    if (this.isDispatched) return { kind: 'refuse', failure: withUnknownRun(cause) }
    const permit = await this.begin(millis(0))
    if (permit.kind !== 'send') return permit
    if (!await this.markNotSent()) return { kind: 'refuse', failure: withUnknownRun(cause) }
    const { kind, detail, retryAfter } = cause
    return { kind: 'refuse', failure: this.#guard.refuse(kind, detail, { retryAfter }) }
  }

  /** Records the answer; waits for the write up to a timeout. */
  async recordAnswer (body: Json): Promise<void> {
    await this.#finish({ kind: 'answered', body })
  }

  /** Records that the request was sent and its outcome is not known. */
  async markLost (): Promise<void> {
    await this.#attempt?.markLost()
  }

  async #finish (outcome: ClaimOutcome): Promise<void> {
    if (this.#attempt === undefined) return
    await Promise.race([this.#attempt.finish(outcome), this.#options.clock.sleep(RECORD_TIMEOUT)])
  }

  #claimRequest (key: IdempotencyKey, maxWait: Millis): ClaimRequest {
    const { request, service } = this.#options
    const { workspace, digest, id } = request
    return { workspace, class: request.class, service, key, digest, request: id, maxWait }
  }
}

const permitOfOutcome = (outcome: ClaimOutcome): Permit =>
  outcome.kind === 'answered' ? { kind: 'replay', body: outcome.body } : { kind: 'refuse', failure: outcome.failure }

/** The failure with `run: 'unknown'`, so that it does not say that nothing ran. */
export const withUnknownRun = (cause: Failure): Failure => {
  const { kind, detail, retryAfter } = cause
  return failure(kind, detail, 'unknown', { retryAfter })
}

/** The final answer of a permit that does not permit sending. */
export const finalResultOf = (permit: Exclude<Permit, { kind: 'send' }>): Result<Json, Failure> =>
  permit.kind === 'replay' ? Result.ok(permit.body) : Result.err(permit.failure)

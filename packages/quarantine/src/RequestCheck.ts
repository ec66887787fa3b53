import { keyOf } from './QuarantineTable.js'
import type { Quarantine, RequestParts, ScopeId } from './types.js'

/** What a check asks of the quarantines. */
export interface QuarantineLookup {
  find (scope: ScopeId, parts: RequestParts): Quarantine | undefined
  /** Takes the one trial of the quarantine that is due, if it is this instance's. */
  takeTrial (quarantine: Quarantine): boolean
}

/**
 * One request's standing: asked again whenever the request is about to go out, since a quarantine may have begun meanwhile.
 *
 * @example
 * const check = quarantines.check(parts)
 * if (check.find(scope) !== undefined) refuse()
 */
export class RequestCheck {
  readonly #lookup: QuarantineLookup
  readonly parts: RequestParts
  /** The quarantine that this request tries, and whether it was sent. */
  #trial: string | undefined
  #isTrialSent = false

  constructor (lookup: QuarantineLookup, parts: RequestParts) {
    this.#lookup = lookup
    this.parts = parts
  }

  /** The quarantine that keeps the request from endpoints of the scope. */
  find (scope: ScopeId): Quarantine | undefined {
    if (this.parts.length === 0) return undefined
    const quarantine = this.#lookup.find(scope, this.parts)
    if (quarantine === undefined) return undefined
    if (this.#trial === keyOf(quarantine)) return this.#isTrialSent ? quarantine : undefined
    if (this.#trial !== undefined || !this.#lookup.takeTrial(quarantine)) return quarantine
    this.#trial = keyOf(quarantine)
    return undefined
  }

  /** The request was sent: if it was a trial, it may not be sent again. */
  noteSent (): void {
    this.#isTrialSent = this.#trial !== undefined
  }

  /** Whether a request that was already sent must be withdrawn. */
  mustWithdraw (scope: ScopeId): boolean {
    if (this.parts.length === 0) return false
    const quarantine = this.#lookup.find(scope, this.parts)
    return quarantine !== undefined && keyOf(quarantine) !== this.#trial
  }
}

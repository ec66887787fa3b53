import { keyOf } from './QuarantineTable.js'
import type { PartId, Quarantine, RequestParts, ScopeId } from './types.js'

/** What a check asks of the quarantines. */
export interface QuarantineLookup {
  /** Whether there is no quarantine at all. */
  isEmpty (): boolean
  find (scope: ScopeId, parts: RequestParts): Quarantine | undefined
  /** Takes the one trial of the quarantine that is due, if it is this instance's. */
  takeTrial (quarantine: Quarantine): boolean
}

/**
 * One request's standing: asked again whenever the request is about to go out, since a quarantine may have begun meanwhile.
 *
 * @example
 * const check = quarantines.check(parts, () => wholeIdOf(fingerprint))
 * if (check.find(scope) !== undefined) refuse()
 */
export class RequestCheck {
  readonly #lookup: QuarantineLookup
  /** Parts that requests have in common. */
  readonly parts: RequestParts
  readonly #wholeOf: (() => PartId) | undefined
  #whole: PartId | undefined
  /** The quarantine that this request tries, and whether it was sent. */
  #trial: string | undefined
  #isTrialSent = false
  #wasLostMidway = false

  constructor (lookup: QuarantineLookup, parts: RequestParts, wholeOf?: () => PartId) {
    this.#lookup = lookup
    this.parts = parts
    this.#wholeOf = wholeOf
  }

  /** The request as a whole, identified when it is first asked for; undefined if it cannot come again. */
  get whole (): PartId | undefined {
    this.#whole ??= this.#wholeOf?.()
    return this.#whole
  }

  /** The parts and the request as a whole. */
  get suspects (): RequestParts {
    return this.whole === undefined ? this.parts : [...this.parts, this.whole]
  }

  /** The quarantine that keeps the request from endpoints of the scope. */
  find (scope: ScopeId): Quarantine | undefined {
    const quarantine = this.#find(scope)
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

  /**
   * Records that the answer was lost midway; returns the request if it is suspected for that. One that is resumed time and again
   * is suspected of one crash only: what others crash would convict a long answer otherwise.
   */
  takeMidwayLoss (): PartId | undefined {
    if (this.#wasLostMidway) return undefined
    this.#wasLostMidway = true
    return this.whole
  }

  /** Whether a request that was already sent must be withdrawn. */
  mustWithdraw (scope: ScopeId): boolean {
    const quarantine = this.#find(scope)
    return quarantine !== undefined && keyOf(quarantine) !== this.#trial
  }

  #find (scope: ScopeId): Quarantine | undefined {
    return this.#lookup.isEmpty() ? undefined : this.#lookup.find(scope, this.suspects)
  }
}

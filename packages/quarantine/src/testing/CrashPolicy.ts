import type { PartId, RequestParts, ScopedIncarnation, ScopeId } from '../types.js'

/** One request's standing with a policy. */
export interface PolicyCheck {
  isRefused (scope: ScopeId): boolean
  /** The request was lost with an engine. */
  noteLost (incarnation: ScopedIncarnation, isBegun: boolean): void
  /** Crashes of other engines in which the request was lost. */
  crashesBefore (incarnation: ScopedIncarnation): number
  answerEnded (scope: ScopeId): void
  noteSent (): void
  mustWithdraw (scope: ScopeId): boolean
}

/** What an instance remembers of crashes, as the harness uses it. */
export interface CrashPolicy {
  check (parts: RequestParts, whole: PartId): PolicyCheck
  /** The part by which the request's endpoint is chosen; undefined if any will do. */
  suspectIn (scope: ScopeId, parts: RequestParts): PartId | undefined
  noteBegun (scope: ScopeId, parts: RequestParts): void
  confirmCrash (incarnation: string): void
  onQuarantine (listener: () => void): void
}

const ALLOWED: PolicyCheck = {
  isRefused: () => false,
  noteLost: () => {},
  crashesBefore: () => 0,
  answerEnded: () => {},
  noteSent: () => {},
  mustWithdraw: () => false
}

/** A baseline: nothing is remembered. */
export const FORGETFUL: CrashPolicy = {
  check: () => ALLOWED,
  suspectIn: () => undefined,
  noteBegun: () => {},
  confirmCrash: () => {},
  onQuarantine: () => {}
}

/** Crashes after which a counting baseline refuses. */
const COUNTED_CRASHES = 3

/** A baseline that counts the crashes in which requests with the same name were lost, and forgives nothing. */
export class CountingPolicy implements CrashPolicy {
  readonly #counts = new Map<string, Set<string>>()
  readonly #nameOf: (parts: RequestParts) => string
  readonly suspectIn = FORGETFUL.suspectIn
  readonly noteBegun = FORGETFUL.noteBegun
  readonly confirmCrash = FORGETFUL.confirmCrash
  readonly onQuarantine = FORGETFUL.onQuarantine

  /** `nameOf` gives what is counted, such as the whole prompt or its first part. */
  constructor (nameOf: (parts: RequestParts) => string) {
    this.#nameOf = nameOf
  }

  check (parts: RequestParts): PolicyCheck {
    return {
      ...ALLOWED,
      isRefused: () => (this.#counts.get(this.#nameOf(parts))?.size ?? 0) >= COUNTED_CRASHES,
      noteLost: (incarnation, isBegun) => { if (!isBegun) this.#noteLost(incarnation, parts) }
    }
  }

  #noteLost ({ incarnation }: ScopedIncarnation, parts: RequestParts): void {
    const name = this.#nameOf(parts)
    this.#counts.set(name, (this.#counts.get(name) ?? new Set<string>()).add(incarnation))
  }
}

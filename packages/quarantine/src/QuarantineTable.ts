import { firstByRendezvous } from '@papayahill/common'
import type { EpochMillis, InstanceId } from '@papayahill/common'
import { FIRST_LAPSE, MAX_LAPSE, MAX_QUARANTINES } from './constants.js'
import { isSameService } from './scopeIdOf.js'
import type { PartId, Quarantine, RequestParts, ScopeId } from './types.js'

interface TableEntry {
  quarantine: Quarantine
  /** Period in which this instance has let a trial through. */
  triedPeriod: number | undefined
}

/**
 * Names a quarantine: its scope and its parts.
 *
 * @example
 * keyOf({ scope, parts: ['a', 'b'] }) // 'pool v1 m: a b'
 */
export const keyOf = ({ scope, parts }: Pick<Quarantine, 'scope' | 'parts'>): string => `${scope}: ${parts.join(' ')}`

/**
 * The number of the period between two trials, from 1; undefined before the first trial is due, or if there is none. A
 * version to which a quarantine was carried over has one at once.
 */
const trialPeriodOf = ({ source, failedTrials, lastCrashAt }: Quarantine, now: EpochMillis): number | undefined => {
  if (source === 'operator') return undefined
  if (source === 'other-version') return 1
  const lapse = Math.min(MAX_LAPSE, FIRST_LAPSE * 2 ** failedTrials)
  const period = Math.floor((now - lastCrashAt) / lapse)
  return period >= 1 ? period : undefined
}

const coversAll = (quarantine: Quarantine, parts: RequestParts): boolean => quarantine.parts.every((part) => parts.includes(part))

/**
 * The quarantines that this instance knows.
 *
 * @example
 * table.put({ scope, parts: ['deadly'], crashes: 3, ... })
 * table.find(scope, ['first', 'deadly']) // the quarantine
 */
export class QuarantineTable {
  readonly #byScope = new Map<ScopeId, Map<string, TableEntry>>()
  #size = 0

  get size (): number {
    return this.#size
  }

  all (): readonly Quarantine[] {
    return [...this.#byScope.values()].flatMap((entries) => [...entries.values()].map(({ quarantine }) => quarantine))
  }

  get (key: Pick<Quarantine, 'scope' | 'parts'>): Quarantine | undefined {
    return this.#byScope.get(key.scope)?.get(keyOf(key))?.quarantine
  }

  /** The quarantine that a request with these parts falls under. */
  find (scope: ScopeId, parts: RequestParts): Quarantine | undefined {
    if (this.#size === 0) return undefined
    for (const { quarantine } of this.#byScope.get(scope)?.values() ?? []) if (coversAll(quarantine, parts)) return quarantine
    return undefined
  }

  /** The same in another version of the scope's service. */
  findElsewhere (scope: ScopeId, parts: RequestParts): Quarantine | undefined {
    for (const [other, entries] of this.#byScope) {
      if (other === scope || !isSameService(other, scope)) continue
      for (const { quarantine } of entries.values()) if (coversAll(quarantine, parts)) return quarantine
    }
    return undefined
  }

  /** Whether the part is under quarantine in another version of the scope's service. */
  isKnownElsewhere (scope: ScopeId, part: PartId): boolean {
    return this.all().some((other) => other.scope !== scope && isSameService(other.scope, scope) && other.parts.includes(part))
  }

  /** Quarantines with these parts that were carried over to other versions of the scope's service. */
  carriedOver (scope: ScopeId, parts: RequestParts): readonly Quarantine[] {
    const isSame = (other: Quarantine): boolean => isSameService(other.scope, scope) && other.parts.join(' ') === parts.join(' ')
    return this.all().filter((other) => other.scope !== scope && other.source === 'other-version' && isSame(other))
  }

  /** Adds or replaces a quarantine; the one that was last confirmed is dropped if there are too many. */
  put (quarantine: Quarantine): void {
    const entries = this.#byScope.get(quarantine.scope) ?? new Map<string, TableEntry>()
    this.#byScope.set(quarantine.scope, entries)
    const known = entries.get(keyOf(quarantine))
    if (known !== undefined) {
      known.quarantine = quarantine
      return
    }
    entries.set(keyOf(quarantine), { quarantine, triedPeriod: undefined })
    this.#size++
    if (this.#size > MAX_QUARANTINES) this.#dropOldest()
  }

  delete (quarantine: Pick<Quarantine, 'scope' | 'parts'>): boolean {
    const isDeleted = this.#byScope.get(quarantine.scope)?.delete(keyOf(quarantine)) ?? false
    if (isDeleted) this.#size--
    return isDeleted
  }

  /** Quarantines of the scope that have the part. */
  withPart (scope: ScopeId, part: PartId): readonly Quarantine[] {
    if (this.#size === 0) return []
    return [...this.#byScope.get(scope)?.values() ?? []].map(({ quarantine }) => quarantine).filter(({ parts }) => parts.includes(part))
  }

  /**
   * Lets one request try the parts again if a trial is due and this instance is the one to make it. Each period has another
   * instance, so that the trial does not wait for one without such requests.
   */
  tryTrial (quarantine: Quarantine, self: InstanceId, instances: readonly InstanceId[], now: EpochMillis): boolean {
    const entry = this.#byScope.get(quarantine.scope)?.get(keyOf(quarantine))
    const period = trialPeriodOf(quarantine, now)
    if (entry === undefined || period === undefined || entry.triedPeriod === period) return false
    const name = `${keyOf(quarantine)} ${quarantine.failedTrials} ${period}`
    if (firstByRendezvous(name, instances, (id) => id) !== self) return false
    entry.triedPeriod = period
    return true
  }

  #dropOldest (): void {
    const removable = this.all().filter(({ source }) => source !== 'operator')
    const [oldest] = [...removable].sort((left, right) => left.lastCrashAt - right.lastCrashAt)
    if (oldest !== undefined) this.delete(oldest)
  }
}

import type { DomainId } from '@papayahill/common'
import type { DomainEndpoints, ScalingReason } from './types.js'

export interface FallInput {
  readonly live: readonly DomainEndpoints[]
  readonly ordered: ReadonlyMap<DomainId, number>
  /** Numbers for the highest need of late. */
  readonly lasting: ReadonlyMap<DomainId, number>
  /** The highest need of late, in all failure domains together. */
  readonly needed: number
  /** Why nothing may be released; undefined if something may. */
  readonly held: ScalingReason | undefined
}

/** Endpoints of a failure domain that serve at full speed and stay. */
const servingIn = ({ listed, cold, ordered }: DomainEndpoints): number => Math.min(ordered, Math.max(0, listed - cold))

/**
 * Limits a fall to what can go without making anything wait: endpoints that boot or are cold carry nothing yet, so the ones
 * that serve must be enough without them.
 */
export const limitFall = (
  { live, ordered, lasting, needed, held }: FallInput
): { readonly endpoints: ReadonlyMap<DomainId, number>, readonly reason: ScalingReason } => {
  if (held !== undefined) return { endpoints: ordered, reason: held }
  if ([...lasting].every(([domain, count]) => count >= ordered.get(domain)!)) return { endpoints: ordered, reason: 'recent' }
  let spare = live.reduce((sum, domain) => sum + servingIn(domain), 0) - needed
  const endpoints = new Map(ordered)
  for (const [domain, count] of ordered) {
    const released = Math.max(0, Math.min(count - lasting.get(domain)!, spare))
    endpoints.set(domain, count - released)
    spare -= released
  }
  const isReleased = [...endpoints].some(([domain, count]) => count < ordered.get(domain)!)
  return { endpoints, reason: isReleased ? 'falling' : 'booting' }
}

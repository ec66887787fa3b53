import type { Trace } from '../Trace.js'
import type { TraceEventOf, Violation } from '../types.js'

const effectKey = (effect: TraceEventOf<'effect'>): string => `${effect.service} ${effect.workspace} ${effect.key}`

/** A request that must not be repeated has at most one effect under its key. */
export const checkAtMostOnce = (trace: Trace): readonly Violation[] => {
  const seen = new Set<string>()
  const violations: Violation[] = []
  for (const effect of trace.ofType('effect')) {
    const key = effectKey(effect)
    if (seen.has(key)) violations.push({ invariant: 'at-most-once', at: effect.at, detail: `${key} ran again for ${effect.request}` })
    seen.add(key)
  }
  return violations
}

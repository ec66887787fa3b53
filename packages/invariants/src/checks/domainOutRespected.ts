import type { DomainId, Millis } from '@papayahill/common'
import { OUT_MAX_DELAY } from '../constants.js'
import type { Trace } from '../Trace.js'
import type { Violation } from '../types.js'

/** A failure domain that is out receives no new work more than {@link OUT_MAX_DELAY} after it went out. */
export const checkDomainOutRespected = (trace: Trace): readonly Violation[] => {
  const outSince = new Map<DomainId, Millis>()
  const violations: Violation[] = []
  for (const event of trace.events) {
    if (event.type === 'domain-out') outSince.set(event.domain, event.at)
    if (event.type === 'domain-in') outSince.delete(event.domain)
    if (event.type !== 'work-started') continue
    const since = outSince.get(event.domain)
    if (since === undefined || event.at - since <= OUT_MAX_DELAY) continue
    violations.push({
      invariant: 'domain-out-respected', at: event.at, detail: `${event.endpoint} got work ${event.at - since} ms after ${event.domain} went out`
    })
  }
  return violations
}

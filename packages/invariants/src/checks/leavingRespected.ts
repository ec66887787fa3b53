import { OUT_MAX_DELAY } from '../constants.js'
import type { Trace } from '../Trace.js'
import type { Violation } from '../types.js'

/** A leaving endpoint receives no new work more than {@link OUT_MAX_DELAY} after it began to leave. */
export const checkLeavingRespected = (trace: Trace): readonly Violation[] => {
  const leavingSince = new Map(trace.ofType('endpoint-leaving').map((event) => [event.endpoint, event.at]))
  return trace.ofType('work-started').flatMap((work): readonly Violation[] => {
    const since = leavingSince.get(work.endpoint)
    if (since === undefined || work.at - since <= OUT_MAX_DELAY) return []
    return [{ invariant: 'leaving-respected', at: work.at, detail: `${work.endpoint} got work ${work.at - since} ms after it began to leave` }]
  })
}

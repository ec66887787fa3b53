import { BAD_VERSION_MAX_DELAY } from '../constants.js'
import type { Trace } from '../Trace.js'
import type { Violation } from '../types.js'

const versionKey = (event: { readonly service: string, readonly version: string }): string => `${event.service} ${event.version}`

/** A bad version receives no new work more than {@link BAD_VERSION_MAX_DELAY} after the evidence suffices. */
export const checkBadVersionContained = (trace: Trace): readonly Violation[] => {
  const judgedAt = new Map(trace.ofType('evidence-suffices').map((event) => [versionKey(event), event.at]))
  return trace.ofType('work-started').flatMap((work): readonly Violation[] => {
    const since = judgedAt.get(versionKey(work))
    if (since === undefined || work.at - since <= BAD_VERSION_MAX_DELAY) return []
    return [{ invariant: 'bad-version-contained', at: work.at, detail: `${work.version} got work ${work.at - since} ms after the evidence sufficed` }]
  })
}

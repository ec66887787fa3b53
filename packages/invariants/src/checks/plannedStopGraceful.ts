import type { InstanceId } from '@papayahill/common'
import type { Trace } from '../Trace.js'
import type { Violation } from '../types.js'

/** A planned stop cuts no request that the instance has accepted. */
export const checkPlannedStopGraceful = (trace: Trace): readonly Violation[] => {
  const stopping = new Set<InstanceId>(trace.ofType('instance-stopping').map((event) => event.instance))
  const died = new Set<InstanceId>(trace.ofType('instance-died').map((event) => event.instance))
  const instanceOf = new Map(trace.ofType('request-sent').map((sent) => [sent.request, sent.instance]))
  return trace.ofType('request-answered').flatMap((answer): readonly Violation[] => {
    const instance = instanceOf.get(answer.request)
    const isCutByStop = answer.outcome === 'cut' && instance !== undefined && stopping.has(instance) && !died.has(instance)
    if (!isCutByStop) return []
    return [{ invariant: 'planned-stop-graceful', at: answer.at, detail: `${answer.request} was cut by the planned stop of ${instance}` }]
  })
}

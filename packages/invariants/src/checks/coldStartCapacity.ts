import type { Trace } from '../Trace.js'
import type { TraceEventOf, Violation } from '../types.js'

type Started = TraceEventOf<'work-started'>

const isOverCapacity = (work: Started): boolean => !work.isWarm && work.running > work.maxConcurrency

/** Calls that exceeded the capacity of a cold endpoint after a restart that broke its connections, or after one that did not. */
export const workOverCapacity = (trace: Trace, restart: 'broke-connections' | 'silent'): readonly Started[] =>
  trace.ofType('work-started').filter((work) => isOverCapacity(work) && work.isSilentRestart === (restart === 'silent'))

/**
 * A cold endpoint never receives more concurrent calls than its capacity. Silent restarts are not checked: instances learn
 * of them too late, so that even an ideal dispatcher exceeds the capacity.
 */
export const checkColdStartCapacity = (trace: Trace): readonly Violation[] =>
  workOverCapacity(trace, 'broke-connections').map((work) => ({
    invariant: 'cold-start-borne',
    at: work.at,
    detail: `${work.endpoint} had ${work.running} concurrent calls and a capacity of ${work.maxConcurrency}`
  }))

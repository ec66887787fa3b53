import type { Trace } from '../Trace.js'
import type { TraceEventOf, Violation } from '../types.js'

type Sent = TraceEventOf<'request-sent'>

/** Whether anything ran until `at` for the key of the request, or for the request itself if it has no key. */
const hasRun = (trace: Trace, sent: Sent, at: number): boolean => {
  if (sent.key === undefined) {
    return trace.ofType('work-started').some((work) => work.call.request === sent.request && work.at <= at)
  }
  return trace.ofType('effect').some((effect) =>
    effect.workspace === sent.workspace && effect.key === sent.key && effect.at <= at)
}

/** A request that is reported as not run has not run. */
export const checkNotRunTrue = (trace: Trace): readonly Violation[] => {
  const sentById = new Map(trace.ofType('request-sent').map((sent) => [sent.request, sent]))
  return trace.ofType('request-answered')
    .filter((answer) => answer.run === 'not-run')
    .flatMap((answer): readonly Violation[] => {
      const sent = sentById.get(answer.request)
      if (sent === undefined || !hasRun(trace, sent, answer.at)) return []
      return [{ invariant: 'not-run-true', at: answer.at, detail: `${answer.request} was reported as not run but had run` }]
    })
}

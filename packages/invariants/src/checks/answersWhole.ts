import type { Trace } from '../Trace.js'
import type { TraceEventOf, Violation } from '../types.js'

const isContiguous = (chunks: readonly number[]): boolean => chunks.every((chunk, index) => chunk === index)

const faultOf = (answer: TraceEventOf<'request-answered'>, isCutAllowed: boolean): string | undefined => {
  if (answer.outcome === 'cut') return isCutAllowed ? undefined : 'was cut although its instance did not die'
  if (answer.outcome !== 'answered') return undefined
  if (!answer.isWhole) return 'was reported as complete but is not'
  if (!isContiguous(answer.chunks ?? [])) return `has the chunk sequence ${answer.chunks?.join(' ')}`
  return undefined
}

/** Every answer is complete, with each chunk once and in order; only the death of its instance may cut one. */
export const checkAnswersWhole = (trace: Trace): readonly Violation[] => {
  const instanceOf = new Map(trace.ofType('request-sent').map((sent) => [sent.request, sent.instance]))
  const died = new Set(trace.ofType('instance-died').map((death) => death.instance))
  return trace.ofType('request-answered').flatMap((answer): readonly Violation[] => {
    const instance = instanceOf.get(answer.request)
    const fault = faultOf(answer, instance !== undefined && died.has(instance))
    if (fault === undefined) return []
    return [{ invariant: 'answers-whole', at: answer.at, detail: `the answer to ${answer.request} ${fault}` }]
  })
}

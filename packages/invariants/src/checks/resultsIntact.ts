import type { RequestId } from '@papayahill/common'
import type { Trace } from '../Trace.js'
import type { TraceEventOf, Violation } from '../types.js'

type Sent = TraceEventOf<'request-sent'>
type Answered = TraceEventOf<'request-answered'>

type Keyed = Pick<Sent, 'workspace' | 'key'>

const keyOf = ({ workspace, key }: Keyed): string | undefined => key === undefined ? undefined : `${workspace} ${key}`

/**
 * Keys of requests as callers and endpoints recorded them. Endpoints know also those whose callers never learned their id,
 * because the attempt was cut.
 */
const keysByRequest = (trace: Trace): ReadonlyMap<RequestId, string | undefined> => {
  const effects = trace.ofType('effect').map((effect) => [effect.request, keyOf(effect)] as const)
  return new Map([...effects, ...trace.ofType('request-sent').map((sent) => [sent.request, keyOf(sent)] as const)])
}

/** A request may get the result made for itself or for another request under the same key. */
const isOwnAnswer = (sent: Sent, madeFor: RequestId, keys: ReadonlyMap<RequestId, string | undefined>): boolean =>
  madeFor === sent.request || (keyOf(sent) !== undefined && keyOf(sent) === keys.get(madeFor))

const groupAnswers = (trace: Trace): ReadonlyMap<RequestId, readonly Answered[]> => {
  const groups = new Map<RequestId, Answered[]>()
  for (const answer of trace.ofType('request-answered')) {
    const group = groups.get(answer.request) ?? []
    group.push(answer)
    groups.set(answer.request, group)
  }
  return groups
}

/** No result is lost, duplicated or delivered to another request. The trace must cover each request until its end. */
export const checkResultsIntact = (trace: Trace): readonly Violation[] => {
  const sentById = new Map(trace.ofType('request-sent').map((sent) => [sent.request, sent]))
  const keys = keysByRequest(trace)
  const answers = groupAnswers(trace)
  const violations: Violation[] = []
  const report = (at: Violation['at'], detail: string): void => {
    violations.push({ invariant: 'results-intact', at, detail })
  }
  for (const sent of sentById.values()) {
    const own = answers.get(sent.request) ?? []
    if (own.length === 0) report(sent.at, `${sent.request} was lost: it never got an answer`)
    if (own.length > 1) report(own[1]!.at, `${sent.request} was answered ${own.length} times`)
    for (const { madeFor, at } of own) {
      if (madeFor !== undefined && !isOwnAnswer(sent, madeFor, keys)) report(at, `${sent.request} got what was made for ${madeFor}`)
    }
  }
  return violations
}

import { CONFIG_MAX_DELAY } from '../constants.js'
import type { Trace } from '../Trace.js'
import type { TraceEventOf, Violation } from '../types.js'

type InForce = TraceEventOf<'config-in-force'>

const incarnationKey = (event: InForce): string => `${event.instance} ${event.incarnation}`

const findReverts = (trace: Trace): readonly Violation[] => {
  const highest = new Map<string, number>()
  const violations: Violation[] = []
  for (const event of trace.ofType('config-in-force')) {
    const before = highest.get(incarnationKey(event)) ?? 0
    if (event.version < before) {
      violations.push({ invariant: 'config-monotone', at: event.at, detail: `${event.instance} reverted from ${before} to ${event.version}` })
    }
    highest.set(incarnationKey(event), Math.max(before, event.version))
  }
  return violations
}

/** A version never has two different contents. */
const findContradictions = (trace: Trace): readonly Violation[] => {
  const digests = new Map<number, string>()
  const violations: Violation[] = []
  for (const event of trace.events) {
    if (event.type !== 'config-accepted' && event.type !== 'config-in-force') continue
    const known = digests.get(event.version) ?? event.digest
    digests.set(event.version, known)
    if (known !== event.digest) {
      violations.push({ invariant: 'config-monotone', at: event.at, detail: `version ${event.version} has two different contents` })
    }
  }
  return violations
}

/** Every incarnation that reports after the deadline reports the accepted version or a newer one. */
const findLate = (trace: Trace): readonly Violation[] => trace.ofType('config-accepted').flatMap((accepted) => {
  const deadline = accepted.at + CONFIG_MAX_DELAY
  return trace.ofType('config-in-force')
    .filter((event) => event.at > deadline && event.version < accepted.version)
    .map((event): Violation => ({
      invariant: 'config-monotone', at: event.at, detail: `${event.instance} still had ${event.version} after the deadline of ${accepted.version}`
    }))
})

/** An accepted configuration is in force on all instances within {@link CONFIG_MAX_DELAY} and never reverts. */
export const checkConfigMonotone = (trace: Trace): readonly Violation[] =>
  [...findReverts(trace), ...findContradictions(trace), ...findLate(trace)]

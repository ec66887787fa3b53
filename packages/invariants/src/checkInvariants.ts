import { checkAnswersWhole } from './checks/answersWhole.js'
import { checkAtMostOnce } from './checks/atMostOnce.js'
import { checkBadVersionContained } from './checks/badVersionContained.js'
import { checkColdStartCapacity } from './checks/coldStartCapacity.js'
import { checkConfigMonotone } from './checks/configMonotone.js'
import { checkDomainOutRespected } from './checks/domainOutRespected.js'
import { checkLeavingRespected } from './checks/leavingRespected.js'
import { checkNotRunTrue } from './checks/notRunTrue.js'
import { checkPlannedStopGraceful } from './checks/plannedStopGraceful.js'
import { checkResultsIntact } from './checks/resultsIntact.js'
import type { Trace } from './Trace.js'
import type { InvariantName, Violation } from './types.js'

/** One check per invariant. */
export const INVARIANT_CHECKS: Readonly<Record<InvariantName, (trace: Trace) => readonly Violation[]>> = {
  'results-intact': checkResultsIntact,
  'cold-start-borne': checkColdStartCapacity,
  'domain-out-respected': checkDomainOutRespected,
  'bad-version-contained': checkBadVersionContained,
  'answers-whole': checkAnswersWhole,
  'not-run-true': checkNotRunTrue,
  'at-most-once': checkAtMostOnce,
  'leaving-respected': checkLeavingRespected,
  'planned-stop-graceful': checkPlannedStopGraceful,
  'config-monotone': checkConfigMonotone
}

/**
 * Checks a complete trace against all invariants; returns the violations.
 *
 * @example
 * expect(checkInvariants(trace)).toEqual([])
 */
export const checkInvariants = (trace: Trace): readonly Violation[] =>
  Object.values(INVARIANT_CHECKS).flatMap((check) => check(trace))

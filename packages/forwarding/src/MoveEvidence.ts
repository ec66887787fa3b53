/** Answers of one version on one route. */
export interface VersionCounts {
  readonly calls: number
  /** Failed, lost or far slower than usual. */
  readonly bad: number
}

/** Answers of the new version and of the others, by route. */
export type RouteCounts = Readonly<Record<string, { readonly fresh: VersionCounts, readonly old: VersionCounts }>>

export type MoveVerdict = 'good' | 'bad' | 'open'

const NO_CALLS: VersionCounts = { calls: 0, bad: 0 }
/** Bad answers of the new version from which on they are no accident. */
const MIN_BAD = 4
/** Standard deviations above what the old version's rate lets expect from which on the new one is worse. */
const WORSE_DEVIATIONS = 3.5
/** Standard deviations above it up to which the new one may be as good. */
const GOOD_DEVIATIONS = 1.5
/** Rate that is expected where the old version shows no bad answer. */
const MIN_RATE = 0.01
/** Added to the variance, which a few calls show poorly. */
const VARIANCE_MARGIN = 0.5
/** Calls of the new version without which nothing is known. */
const MIN_CALLS = 10
/** Calls of the new version without which nothing is known of a route that has this part of the old version's or more. */
const MIN_ROUTE_CALLS = 3
const BUSY_ROUTE_SHARE = 0.1

/** Bad answers of the new version beside the number expected at the old one's rates. */
interface Comparison {
  readonly bad: number
  readonly expected: number
  readonly variance: number
}

const plus = (left: VersionCounts, right: VersionCounts): VersionCounts =>
  ({ calls: left.calls + right.calls, bad: left.bad + right.bad })

const compare = (fresh: VersionCounts, old: VersionCounts): Comparison => {
  const rate = Math.max(MIN_RATE, old.calls === 0 ? 0 : old.bad / old.calls)
  return { bad: fresh.bad, expected: fresh.calls * rate, variance: fresh.calls * rate * (1 - rate) }
}

/** All routes together: a few bad answers on each tell what none of them tells alone. */
const together = (routes: readonly Comparison[]): Comparison => ({
  bad: routes.reduce((sum, { bad }) => sum + bad, 0),
  expected: routes.reduce((sum, { expected }) => sum + expected, 0),
  variance: routes.reduce((sum, { variance }) => sum + variance, 0)
})

const isAbove = ({ bad, expected, variance }: Comparison, deviations: number): boolean =>
  bad - expected > deviations * Math.sqrt(variance + VARIANCE_MARGIN)

/** Whether the new version has more bad answers than chance would give it at the old one's rate. */
const isWorse = (comparison: Comparison): boolean => comparison.bad >= MIN_BAD && isAbove(comparison, WORSE_DEVIATIONS)

/** Adds up what several instances have counted. */
export const sumEvidence = (parts: readonly RouteCounts[]): RouteCounts => {
  const sum: Record<string, { fresh: VersionCounts, old: VersionCounts }> = {}
  for (const part of parts) {
    for (const [route, { fresh, old }] of Object.entries(part)) {
      const known = sum[route] ?? { fresh: NO_CALLS, old: NO_CALLS }
      sum[route] = { fresh: plus(known.fresh, fresh), old: plus(known.old, old) }
    }
  }
  return sum
}

/** Answers of the new version on all routes. */
export const freshCalls = (evidence: RouteCounts): number =>
  Object.values(evidence).reduce((sum, { fresh }) => sum + fresh.calls, 0)

/** Whether the new version was tried on a route. */
export const isRouteTried = (evidence: RouteCounts, route: string): boolean => (evidence[route]?.fresh.calls ?? 0) >= MIN_ROUTE_CALLS

/** Whether the new version was tried, on each route that is in use. */
const isTried = (evidence: RouteCounts): boolean => {
  const routes = Object.entries(evidence)
  const oldCalls = routes.reduce((sum, [, { old }]) => sum + old.calls, 0)
  const busy = routes.filter(([, { old }]) => old.calls > 0 && old.calls >= oldCalls * BUSY_ROUTE_SHARE)
  return freshCalls(evidence) >= MIN_CALLS && busy.every(([route]) => isRouteTried(evidence, route))
}

/**
 * Judges a new version by all instances' answers: bad where it is clearly worse than the old one, on any route or on all
 * together; good where it was tried and nothing suggests that it is worse. What lies between stays open.
 *
 * @example
 * judgeMove({ orders: { fresh: { calls: 20, bad: 9 }, old: { calls: 300, bad: 4 } } }) // 'bad'
 */
export const judgeMove = (evidence: RouteCounts): MoveVerdict => {
  const routes = Object.values(evidence).map(({ fresh, old }) => compare(fresh, old))
  const comparisons = [...routes, together(routes)]
  if (comparisons.some(isWorse)) return 'bad'
  const mayBeWorse = comparisons.some((comparison) => isAbove(comparison, GOOD_DEVIATIONS))
  return isTried(evidence) && !mayBeWorse ? 'good' : 'open'
}

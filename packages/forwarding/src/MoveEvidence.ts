/** Answers of one version on one route. */
export interface VersionCounts {
  readonly calls: number
  /** Answers that failed, were lost or took far longer than usual. */
  readonly bad: number
}

/** Answers of the new version (`fresh`) and of the others (`old`), by route. */
export type RouteCounts = Readonly<Record<string, { readonly fresh: VersionCounts, readonly old: VersionCounts }>>

export type MoveVerdict = 'good' | 'bad' | 'open'

const NO_CALLS: VersionCounts = { calls: 0, bad: 0 }
/** Bad answers of the new version needed for the verdict `bad`; fewer can be chance. */
const MIN_BAD_ANSWERS = 4
/** The new version is worse if its bad answers exceed the old version's rate by more standard deviations than this. */
const WORSE_DEVIATIONS = 3.5
/** The new version can be good if they exceed it by at most this many. */
const GOOD_DEVIATIONS = 1.5
/** Lowest rate of bad answers to expect, for an old version that has shown none or hardly any. */
const MIN_BAD_RATE = 0.01
/** Added to the variance, because few calls estimate it poorly. */
const VARIANCE_MARGIN = 0.5
/** Calls of the new version needed for the verdict `good`. */
const MIN_CALLS = 10
/** Calls of the new version needed on each route that has at least the share below of the old version's calls. */
const MIN_ROUTE_CALLS = 3
const BUSY_ROUTE_SHARE = 0.1

/** Bad answers of the new version, and the number expected at the old version's rate. */
interface Comparison {
  readonly bad: number
  readonly expected: number
  readonly variance: number
}

const addCounts = (left: VersionCounts, right: VersionCounts): VersionCounts =>
  ({ calls: left.calls + right.calls, bad: left.bad + right.bad })

const compare = (fresh: VersionCounts, old: VersionCounts): Comparison => {
  const rate = Math.max(MIN_BAD_RATE, old.calls === 0 ? 0 : old.bad / old.calls)
  return { bad: fresh.bad, expected: fresh.calls * rate, variance: fresh.calls * rate * (1 - rate) }
}

/** Combines all routes, because bad answers spread over several routes can be significant only in total. */
const combine = (routes: readonly Comparison[]): Comparison => ({
  bad: routes.reduce((sum, { bad }) => sum + bad, 0),
  expected: routes.reduce((sum, { expected }) => sum + expected, 0),
  variance: routes.reduce((sum, { variance }) => sum + variance, 0)
})

const isAbove = ({ bad, expected, variance }: Comparison, deviations: number): boolean =>
  bad - expected > deviations * Math.sqrt(variance + VARIANCE_MARGIN)

/** Whether the new version has significantly more bad answers than the old version's rate explains. */
const isWorse = (comparison: Comparison): boolean => comparison.bad >= MIN_BAD_ANSWERS && isAbove(comparison, WORSE_DEVIATIONS)

/** Adds up the counts of several instances. */
export const sumEvidence = (parts: readonly RouteCounts[]): RouteCounts => {
  const sum: Record<string, { fresh: VersionCounts, old: VersionCounts }> = {}
  for (const part of parts) {
    for (const [route, { fresh, old }] of Object.entries(part)) {
      const previous = sum[route] ?? { fresh: NO_CALLS, old: NO_CALLS }
      sum[route] = { fresh: addCounts(previous.fresh, fresh), old: addCounts(previous.old, old) }
    }
  }
  return sum
}

/** Answers of the new version on all routes. */
export const newVersionCalls = (evidence: RouteCounts): number =>
  Object.values(evidence).reduce((sum, { fresh }) => sum + fresh.calls, 0)

/** Whether the new version has enough calls on a route. */
export const isRouteTried = (evidence: RouteCounts, route: string): boolean => (evidence[route]?.fresh.calls ?? 0) >= MIN_ROUTE_CALLS

/** Whether the new version has enough calls in total and on each busy route. */
const isTried = (evidence: RouteCounts): boolean => {
  const routes = Object.entries(evidence)
  const oldCalls = routes.reduce((sum, [, { old }]) => sum + old.calls, 0)
  const busy = routes.filter(([, { old }]) => old.calls > 0 && old.calls >= oldCalls * BUSY_ROUTE_SHARE)
  return newVersionCalls(evidence) >= MIN_CALLS && busy.every(([route]) => isRouteTried(evidence, route))
}

/**
 * Judges a new version by the answers of all instances: bad if it is significantly worse than the old one, on any route
 * or in total; good if it was tried enough and does not look worse; open otherwise.
 *
 * @example
 * judgeMove({ orders: { fresh: { calls: 20, bad: 9 }, old: { calls: 300, bad: 4 } } }) // 'bad'
 */
export const judgeMove = (evidence: RouteCounts): MoveVerdict => {
  const routes = Object.values(evidence).map(({ fresh, old }) => compare(fresh, old))
  const comparisons = [...routes, combine(routes)]
  if (comparisons.some(isWorse)) return 'bad'
  const mayBeWorse = comparisons.some((comparison) => isAbove(comparison, GOOD_DEVIATIONS))
  return isTried(evidence) && !mayBeWorse ? 'good' : 'open'
}

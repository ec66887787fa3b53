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
/** Bad answers of the new version on one route from which on they are no accident. */
const MIN_BAD = 4
/** Standard deviations above what the old version's rate lets expect from which on the new one is worse. */
const MIN_DEVIATIONS = 3.5
/** Rate that is expected where the old version shows no bad answer. */
const MIN_RATE = 0.01
/** Added to the variance, which a few calls show poorly. */
const VARIANCE_MARGIN = 0.5
/** Calls of the new version without which nothing is known. */
const MIN_CALLS = 10

const plus = (left: VersionCounts, right: VersionCounts): VersionCounts =>
  ({ calls: left.calls + right.calls, bad: left.bad + right.bad })

/** Whether the new version has more bad answers than chance would give it at the old one's rate. */
const isWorse = (fresh: VersionCounts, old: VersionCounts): boolean => {
  if (fresh.bad < MIN_BAD) return false
  const rate = Math.max(MIN_RATE, old.calls === 0 ? 0 : old.bad / old.calls)
  const deviation = Math.sqrt(fresh.calls * rate * (1 - rate) + VARIANCE_MARGIN)
  return fresh.bad - fresh.calls * rate > MIN_DEVIATIONS * deviation
}

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

/**
 * Judges a new version by all instances' answers: bad where it is clearly worse than the old one on any route.
 *
 * @example
 * judgeMove({ orders: { fresh: { calls: 20, bad: 9 }, old: { calls: 300, bad: 4 } } }) // 'bad'
 */
export const judgeMove = (evidence: RouteCounts): MoveVerdict => {
  const routes = Object.values(evidence)
  if (routes.some(({ fresh, old }) => isWorse(fresh, old))) return 'bad'
  const calls = routes.reduce((sum, { fresh }) => sum + fresh.calls, 0)
  return calls >= MIN_CALLS ? 'good' : 'open'
}

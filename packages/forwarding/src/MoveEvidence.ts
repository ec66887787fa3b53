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
/** Share by which the new version's answers must be worse than the old one's. */
const MIN_EXCESS = 0.08
const MIN_RATIO = 2.5
/** Calls of the new version without which nothing is known. */
const MIN_CALLS = 10

const plus = (left: VersionCounts, right: VersionCounts): VersionCounts =>
  ({ calls: left.calls + right.calls, bad: left.bad + right.bad })

const rateOf = ({ calls, bad }: VersionCounts): number => calls === 0 ? 0 : bad / calls

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
  const isBad = routes.some(({ fresh, old }) =>
    fresh.bad >= MIN_BAD && rateOf(fresh) > Math.max(rateOf(old) + MIN_EXCESS, MIN_RATIO * rateOf(old)))
  if (isBad) return 'bad'
  const calls = routes.reduce((sum, { fresh }) => sum + fresh.calls, 0)
  return calls >= MIN_CALLS ? 'good' : 'open'
}

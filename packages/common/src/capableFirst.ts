/** Which candidates are capable of work for all instances. */
export interface CapabilityTerms {
  /** Share of the largest capacity that a capable one has at least. */
  readonly share: number
  /** Minimum number of capable ones; with fewer, all candidates count as capable. */
  readonly least: number
}

interface Candidate {
  /** In cores. */
  readonly capacity: number
}

/**
 * The capable candidates, in the order given; all of them where there are too few.
 *
 * @example
 * capableOf([{ capacity: 1 }, { capacity: 0.25 }], { share: 0.5, least: 1 }) // [{ capacity: 1 }]
 */
export const capableOf = <One extends Candidate>(candidates: readonly One[], { share, least }: CapabilityTerms): readonly One[] => {
  const largest = Math.max(0, ...candidates.map(({ capacity }) => capacity))
  const capable = candidates.filter(({ capacity }) => capacity >= largest * share)
  return capable.length >= least ? capable : candidates
}

/**
 * All candidates, the capable ones first, otherwise in the order given.
 *
 * @example
 * capableFirst([{ capacity: 0.25 }, { capacity: 1 }], { share: 0.5, least: 1 }) // [{ capacity: 1 }, { capacity: 0.25 }]
 */
export const capableFirst = <One extends Candidate>(candidates: readonly One[], terms: CapabilityTerms): readonly One[] => {
  const capable = new Set(capableOf(candidates, terms))
  return [...capable, ...candidates.filter((candidate) => !capable.has(candidate))]
}

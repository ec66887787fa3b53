import { byRendezvous, capableFirst } from '@papayahill/common'
import type { InstanceId } from '@papayahill/common'
import { LEASE_KEY, MIN_CANDIDATE_CAPACITY, MIN_CANDIDATES } from './constants.js'

/** An instance that can take the lease. */
export interface Candidate {
  readonly id: InstanceId
  /** In cores. */
  readonly capacity: number
}

/** All candidates in the order in which they try: capable ones first, then the others, each by rendezvous order. */
export const rankCandidates = (candidates: readonly Candidate[]): readonly Candidate[] =>
  capableFirst(byRendezvous(LEASE_KEY, candidates, ({ id }) => id), { share: MIN_CANDIDATE_CAPACITY, least: MIN_CANDIDATES })

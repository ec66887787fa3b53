import { xxhash } from './xxhash.js'

/** A 32-bit hash of a string, for rendezvous order and sampling; not for secrets. */
export const hash32 = (text: string, seed = 0): number => xxhash.h32(text, seed)

const LOWER_RANGE = 2 ** 32
/** Bits of the upper half, so that both halves together are an exact integer. */
const UPPER_BITS = 21

/**
 * A 53-bit hash of a string as an integer, for sets of strings of any length in which two must not be taken for one.
 *
 * @example
 * new Set([hash53('h-1')]).has(hash53('h-1'))
 */
export const hash53 = (text: string): number => (hash32(text, 1) >>> (32 - UPPER_BITS)) * LOWER_RANGE + hash32(text)

/** A 64-bit hash of a string as 16 hexadecimal digits. */
export const hash64 = (text: string): string => xxhash.h64ToString(text)

/**
 * Rank of a candidate for a name in rendezvous hashing; the highest is the first.
 *
 * @example
 * rendezvousRank('orders/0', 'ph-1') > rendezvousRank('orders/0', 'ph-2')
 */
export const rendezvousRank = (name: string, id: string | number): number => hash32(`${name} ${id}`)

/**
 * The first candidate for a name by rendezvous hashing: every instance with the same candidates gets the same one, and
 * if a candidate leaves, only its own names are reassigned. Undefined if there are no candidates.
 *
 * @example
 * firstByRendezvous('orders/0', ['ph-1', 'ph-2'], (id) => id)
 */
export const firstByRendezvous = <Candidate>(
  name: string, candidates: Iterable<Candidate>, idOf: (candidate: Candidate) => string | number
): Candidate | undefined => {
  let first: Candidate | undefined
  let highest = -1
  for (const candidate of candidates) {
    const rank = rendezvousRank(name, idOf(candidate))
    if (rank > highest) [first, highest] = [candidate, rank]
  }
  return first
}

/**
 * All candidates in rendezvous order for a name.
 *
 * @example
 * byRendezvous('endpoints', ['ph-1', 'ph-2', 'ph-3'], (id) => id).slice(0, 2)
 */
export const byRendezvous = <Candidate>(
  name: string, candidates: Iterable<Candidate>, idOf: (candidate: Candidate) => string | number
): readonly Candidate[] => [...candidates]
    .map((candidate) => ({ candidate, rank: rendezvousRank(name, idOf(candidate)) }))
    .sort((left, right) => right.rank - left.rank)
    .map(({ candidate }) => candidate)

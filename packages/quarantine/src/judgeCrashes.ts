import type { EndpointId, EpochMillis, Millis } from '@papayahill/common'
import { MAX_CRASHES, MIN_CRASHES, SIMULTANEOUS, STORM_SPAN } from './constants.js'
import type { PartId, RequestParts } from './types.js'

/** A crash as evidence: the requests that may have caused it. */
export interface CrashEvidence {
  readonly endpoint: EndpointId
  readonly at: EpochMillis
  /** Monotonic time at which this instance learned of it. */
  readonly learnedAt: Millis
  readonly requests: readonly RequestParts[]
}

/** What is known about a part apart from crashes. */
export interface PartHistory {
  /** Whether an answer on it has begun in this scope: one suffices, since a deadly part crashes whatever begins one. */
  hasBegun (part: PartId): boolean
  /** Whether it is under quarantine in another version of the service: then one crash suffices. */
  isKnownElsewhere (part: PartId): boolean
}

/** Parts that explain crashes. */
export interface Finding {
  readonly parts: RequestParts
  readonly crashes: readonly CrashEvidence[]
}

export interface Judgement {
  readonly findings: readonly Finding[]
  /** Crashes without another explanation, by the parts that may have caused them. */
  readonly suspects: ReadonlyMap<PartId, number>
}

/** Crashes by part, of parts on which no answer has begun. */
const crashesByPart = (crashes: readonly CrashEvidence[], history: PartHistory): ReadonlyMap<PartId, readonly CrashEvidence[]> => {
  const byPart = new Map<PartId, CrashEvidence[]>()
  for (const crash of crashes) {
    for (const part of new Set(crash.requests.flat())) {
      if (history.hasBegun(part)) continue
      const known = byPart.get(part)
      if (known === undefined) byPart.set(part, [crash])
      else known.push(crash)
    }
  }
  return byPart
}

/** Number of crashes, of which those at the same moment count once; they are in the order in which they were learned. */
const countIndependent = (crashes: readonly CrashEvidence[]): number => {
  let count = 0
  let last = -Infinity
  for (const { learnedAt } of crashes) {
    if (learnedAt - last > SIMULTANEOUS) count++
    last = learnedAt
  }
  return count
}

/** Crashes close to those of the part that it does not explain. */
const unexplainedBeside = (own: readonly CrashEvidence[], all: readonly CrashEvidence[]): readonly CrashEvidence[] => {
  const from = own[0]!.learnedAt - STORM_SPAN
  const to = own.at(-1)!.learnedAt + STORM_SPAN
  return all.filter((crash) => !own.includes(crash) && crash.learnedAt >= from && crash.learnedAt <= to)
}

/** Parts that were in every request of these crashes that had the part, so that nothing tells them apart from it. */
const inseparableFrom = (part: PartId, crashes: readonly CrashEvidence[], history: PartHistory): RequestParts => {
  const carriers = crashes.flatMap(({ requests }) => requests.filter((request) => request.includes(part)))
  return [...new Set(carriers[0])].filter((other) => !history.hasBegun(other) && carriers.every((request) => request.includes(other)))
}

interface Candidate {
  readonly part: PartId
  readonly crashes: readonly CrashEvidence[]
  readonly count: number
}

const isConvicted = ({ part, crashes, count }: Candidate, all: readonly CrashEvidence[], history: PartHistory): boolean =>
  count >= MAX_CRASHES || history.isKnownElsewhere(part) || count >= MIN_CRASHES + countIndependent(unexplainedBeside(crashes, all))

/** Convicted parts with the same crashes, which are the most of all; empty if no part is convicted. */
const worstOf = (crashes: readonly CrashEvidence[], history: PartHistory): readonly Candidate[] => {
  const [first, ...others] = [...crashesByPart(crashes, history)]
    .map(([part, own]) => ({ part, crashes: own, count: countIndependent(own) }))
    .filter((candidate) => isConvicted(candidate, crashes, history))
  if (first === undefined) return []
  const worst = others.reduce((most, candidate) => candidate.count > most.count ? candidate : most, first)
  const isRival = ({ crashes: own }: Candidate): boolean =>
    own.length === worst.crashes.length && own.every((crash) => worst.crashes.includes(crash))
  return [first, ...others].filter(isRival)
}

/**
 * The parts that the crashes of rivals are put down to. Where parts came together, the whole set is blamed, since requests
 * with only some of them may be sound. Where parts of different requests are left, none is blamed before there are enough
 * crashes to blame each of them.
 */
const blame = (rivals: readonly Candidate[], history: PartHistory): readonly RequestParts[] => {
  const sets = rivals.map(({ part, crashes }) => inseparableFrom(part, crashes, history))
  const whole = sets.find((set) => rivals.every(({ part }) => set.includes(part)))
  if (whole !== undefined) return [whole]
  return rivals[0]!.count < MAX_CRASHES ? [] : sets
}

/**
 * Finds the parts that explain the crashes of one scope: the part with the most crashes first, then the part with the most
 * of the crashes that are left, so that requests which were only there at the time are not blamed.
 *
 * @example
 * const { findings, suspects } = judgeCrashes(crashes, history)
 */
export const judgeCrashes = (crashes: readonly CrashEvidence[], history: PartHistory): Judgement => {
  const findings: Finding[] = []
  const sorted = [...crashes].sort((left, right) => left.learnedAt - right.learnedAt)
  let open: readonly CrashEvidence[] = sorted
  let judged: readonly CrashEvidence[] = sorted
  for (let rivals = worstOf(judged, history); rivals.length > 0; rivals = worstOf(judged, history)) {
    const { crashes: explained } = rivals[0]!
    const blamed = blame(rivals, history)
    for (const parts of blamed) findings.push({ parts, crashes: explained })
    judged = judged.filter((crash) => !explained.includes(crash))
    if (blamed.length > 0) open = open.filter((crash) => !explained.includes(crash))
  }
  const suspects = new Map<PartId, number>()
  for (const [part, own] of crashesByPart(open, history)) suspects.set(part, countIndependent(own))
  return { findings, suspects }
}

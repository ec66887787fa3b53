import { millis } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import type { BatchProfile, StageNode } from '@papayahill/directory'
import { longestChain } from './longestChain.js'
import type { ProfileOf } from './types.js'

/** Time of a call with the maximum number of pieces, as a busy endpoint has. */
export const fullCallTime = ({ callTime, size, pieceTime }: BatchProfile): number => callTime + size * pieceTime

/** Time of a call with a single piece. */
export const shortCallTime = ({ callTime, pieceTime }: BatchProfile): number => callTime + pieceTime

/**
 * Time of the calls on the longest chain of stages after this one.
 *
 * @example
 * followingStageTime(stages, stage, profileOf, fullCallTime)
 */
export const followingStageTime = (
  stages: readonly StageNode[], stage: StageNode, profileOf: ProfileOf, timeOf: (profile: BatchProfile) => number
): number => {
  const followersOf = ({ index }: StageNode): readonly StageNode[] => stages.filter((other) => other.after.includes(index))
  const chainTime = longestChain(followersOf, ({ service }) => {
    const profile = profileOf(service)
    return profile === undefined ? 0 : timeOf(profile)
  })
  return Math.max(0, ...followersOf(stage).map(chainTime))
}

/**
 * Time that a request's stages take at least, without any queueing.
 *
 * @example
 * leastStageTime(route.stages, pieceCounts, profileOf)
 */
export const leastStageTime = (stages: readonly StageNode[], counts: readonly number[], profileOf: ProfileOf): Millis => {
  const chainTime = longestChain<StageNode>(({ after }) => after.map((index) => stages[index]!), ({ index, service }) => {
    const count = counts[index] ?? 0
    const profile = profileOf(service)
    return count === 0 || profile === undefined ? 0 : profile.callTime + Math.min(count, profile.size) * profile.pieceTime
  })
  return millis(Math.max(0, ...stages.map(chainTime)))
}

/** Calls of one version in a block, and how many of them were adverse: failed, or slow. */
export interface BlockSide {
  readonly calls: number
  readonly adverse: number
}

/** Calls of both versions that ended in the same short period. */
export interface Block {
  readonly new: BlockSide
  readonly old: BlockSide
}

/** Log-likelihood of a side's calls if each is adverse with probability `rate`. */
const logLikelihood = ({ calls, adverse }: BlockSide, rate: number): number =>
  adverse * Math.log(rate) + (calls - adverse) * Math.log(1 - rate)

/**
 * Evidence of one block, in nats, for the hypothesis that calls are adverse at `newRate` on the new version and at
 * `oldRate` on the old one, against the hypothesis of one common rate of any value: the e-variable for 2x2 tables by
 * Turner, Ly and Grünwald. If both versions have the same rate, its exponential has an expectation of 1, so a slowdown or
 * outage that affects both is not attributed to the new version.
 *
 * @example
 * blockNats({ new: { calls: 1, adverse: 1 }, old: { calls: 32, adverse: 0 } }, 0.9, 0.005) // about 3.2
 */
export const blockNats = (block: Block, newRate: number, oldRate: number): number => {
  const calls = block.new.calls + block.old.calls
  const commonRate = (block.new.calls * newRate + block.old.calls * oldRate) / calls
  return logLikelihood(block.new, newRate) - logLikelihood(block.new, commonRate) +
    logLikelihood(block.old, oldRate) - logLikelihood(block.old, commonRate)
}

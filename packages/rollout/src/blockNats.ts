/** Calls of one version in a block, and how many of them were adverse: failed, or slow. */
export interface BlockSide {
  readonly calls: number
  readonly adverse: number
}

/** Calls of both versions that ended in the same short time. */
export interface Block {
  readonly new: BlockSide
  readonly old: BlockSide
}

/** Log of the chance of a side's calls when each is adverse with chance `rate`. */
const logChance = ({ calls, adverse }: BlockSide, rate: number): number =>
  adverse * Math.log(rate) + (calls - adverse) * Math.log(1 - rate)

/**
 * Evidence of one block, in nats, that the new version's calls are adverse at `newRate` and the old one's at
 * `oldRate`, against that both are adverse alike, at whatever rate: the e-variable for two by two tables of
 * Turner, Ly and Grünwald. Where both versions are alike its exponential is 1 on average, whatever befalls both,
 * so a common slowdown or outage is not blamed on the new version.
 *
 * @example
 * blockNats({ new: { calls: 1, adverse: 1 }, old: { calls: 32, adverse: 0 } }, 0.9, 0.005) // about 3.2
 */
export const blockNats = (block: Block, newRate: number, oldRate: number): number => {
  const calls = block.new.calls + block.old.calls
  const alike = (block.new.calls * newRate + block.old.calls * oldRate) / calls
  return logChance(block.new, newRate) - logChance(block.new, alike) + logChance(block.old, oldRate) - logChance(block.old, alike)
}

/**
 * Sums times along the longest chain that starts with an item. Each item is computed once: the chains of a graph without cycles
 * can be exponentially many.
 *
 * @example
 * const waitOf = longestChain((stage) => stage.after.map((index) => stages[index]!), (stage) => waits[stage.index]!)
 * waitOf(lastStage)
 */
export const longestChain = <Item>(nextOf: (item: Item) => readonly Item[], timeOf: (item: Item) => number): ((item: Item) => number) => {
  const known = new Map<Item, number>()
  const chainTime = (item: Item): number => {
    const found = known.get(item) ?? timeOf(item) + Math.max(0, ...nextOf(item).map(chainTime))
    known.set(item, found)
    return found
  }
  return chainTime
}

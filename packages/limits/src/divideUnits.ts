import { hash32 } from '@papayahill/common'
import type { InstanceId } from '@papayahill/common'

/**
 * This instance's part of a number of units, so that the parts of all instances add up to it. The remainder goes to the first
 * instances in rendezvous order for the name; with more instances than units some get none.
 *
 * @example
 * divideUnits('e1 1000 room', 4, ['i1', 'i2', 'i3'], 'i1') // 1 or 2
 */
export const divideUnits = (name: string, units: number, instances: readonly InstanceId[], self: InstanceId): number => {
  const even = Math.floor(units / instances.length)
  const remainder = Math.floor(units) - even * instances.length
  if (remainder === 0) return even
  const rankOf = (id: InstanceId): number => hash32(`${name} ${id}`)
  const ownRank = rankOf(self)
  const higherRanked = instances.filter((id) => rankOf(id) > ownRank).length
  return even + (higherRanked < remainder ? 1 : 0)
}

import { byRendezvous } from '@papayahill/common'
import type { InstanceId } from '@papayahill/common'

/**
 * Divides a number of units between instances, so that their parts add up to it. The remainder goes to the first ones in
 * rendezvous order for the name; instances without a unit are left out.
 *
 * @example
 * divideUnits('e1 1000 room', 4, ['i1', 'i2', 'i3']) // two units for one of them, one for the others
 */
export const divideUnits = (name: string, units: number, instances: readonly InstanceId[]): ReadonlyMap<InstanceId, number> => {
  const even = Math.floor(units / instances.length)
  const remainder = Math.floor(units) - even * instances.length
  const ranked = byRendezvous(name, instances, (id) => id)
  const holders = even > 0 ? ranked : ranked.slice(0, remainder)
  return new Map(holders.map((id, rank) => [id, even + (rank < remainder ? 1 : 0)]))
}

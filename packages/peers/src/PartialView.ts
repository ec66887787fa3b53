import type { InstanceId, Random } from '@papayahill/common'
import { ACTIVE_LINKS, FULL_MESH_MEMBERS, MAX_ACTIVE_LINKS } from './constants.js'

/** What to change about the links of one instance. */
export interface ViewChange {
  readonly dial: readonly InstanceId[]
  readonly drop: readonly InstanceId[]
}

const shuffled = <Item>(random: Random, items: readonly Item[]): Item[] => {
  const mixed = [...items]
  for (let end = mixed.length - 1; end > 0; end--) {
    const other = random.below(end + 1)
    const last = mixed[end]!
    mixed[end] = mixed[other]!
    mixed[other] = last
  }
  return mixed
}

/** Whether so few instances are known that each keeps a link to every other. */
export const isFullMesh = (known: number): boolean => known + 1 <= FULL_MESH_MEMBERS

/**
 * Chooses the links of one instance: all others while there are few, a small random set above that,
 * as the active view of HyParView. A link is symmetric, so a drop is said to the other side.
 *
 * @example
 * planLinks(random, known, linked) // { dial: ['i7'], drop: [] }
 */
export const planLinks = (random: Random, known: readonly InstanceId[], linked: readonly InstanceId[]): ViewChange => {
  const others = known.filter((id) => !linked.includes(id))
  if (isFullMesh(known.length)) return { dial: others, drop: [] }
  const missing = Math.max(0, ACTIVE_LINKS - linked.length)
  const surplus = Math.max(0, linked.length - MAX_ACTIVE_LINKS)
  return {
    dial: missing === 0 ? [] : shuffled(random, others).slice(0, missing),
    drop: surplus === 0 ? [] : shuffled(random, linked).slice(0, surplus)
  }
}

export const pickLinks = <Item>(random: Random, items: readonly Item[], count: number): readonly Item[] =>
  items.length <= count ? items : shuffled(random, items).slice(0, count)

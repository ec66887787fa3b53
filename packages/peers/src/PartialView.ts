import type { InstanceId, Random } from '@papayahill/common'
import { ACTIVE_LINKS, FULL_MESH_MEMBERS, MAX_ACTIVE_LINKS } from './constants.js'

/** Links to open and close. */
export interface ViewChange {
  readonly dial: readonly InstanceId[]
  readonly drop: readonly InstanceId[]
}

const shuffled = <Item>(random: Random, items: readonly Item[]): Item[] => {
  const result = [...items]
  for (let end = result.length - 1; end > 0; end--) {
    const other = random.below(end + 1)
    const last = result[end]!
    result[end] = result[other]!
    result[other] = last
  }
  return result
}

/** Whether the cluster is small enough for a link between every two instances. */
export const isFullMesh = (known: number): boolean => known + 1 <= FULL_MESH_MEMBERS

/**
 * Plans the links of one instance: a full mesh in a small cluster, a small random subset of peers in a larger
 * one, like the active view of HyParView. Links are symmetric, so closing one is announced to the peer. Only settled links
 * are surplus: of one just accepted it is not known yet whether the peer wants it for gossip.
 *
 * @example
 * planLinks(random, known, linked, settled) // { dial: ['i7'], drop: [] }
 */
export const planLinks = (
  random: Random, known: readonly InstanceId[], linked: readonly InstanceId[], settled: readonly InstanceId[]
): ViewChange => {
  const others = known.filter((id) => !linked.includes(id))
  if (isFullMesh(known.length)) return { dial: others, drop: [] }
  const missing = Math.max(0, ACTIVE_LINKS - linked.length)
  const surplus = Math.max(0, settled.length - MAX_ACTIVE_LINKS)
  return {
    dial: missing === 0 ? [] : shuffled(random, others).slice(0, missing),
    drop: surplus === 0 ? [] : shuffled(random, settled).slice(0, surplus)
  }
}

export const pickRandom = <Item>(random: Random, items: readonly Item[], count: number): readonly Item[] =>
  items.length <= count ? items : shuffled(random, items).slice(0, count)

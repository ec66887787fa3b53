import { byRendezvous } from '@papayahill/common'
import type { DomainId, InstanceId } from '@papayahill/common'

/** An instance that can poll a table for others. */
export interface WatchCandidate {
  readonly id: InstanceId
  readonly domain: DomainId
}

/**
 * The instances in the order in which they poll a table in the store: by rendezvous, the first ones each in a failure
 * domain of its own while there are enough domains, so that the loss of one domain leaves the others. The first
 * `WATCHER_COUNT` are the watchers; the others are their backups.
 *
 * @example
 * pollOrderOf('servers', instances).findIndex(({ id }) => id === self) < WATCHER_COUNT
 */
export const pollOrderOf = (table: string, instances: readonly WatchCandidate[]): readonly WatchCandidate[] => {
  const ranked = byRendezvous(table, instances, ({ id }) => id)
  const domains = new Set<DomainId>()
  const apart = new Set(ranked.filter(({ domain }) => !domains.has(domain) && domains.add(domain)))
  return [...apart, ...ranked.filter((candidate) => !apart.has(candidate))]
}

import { byRendezvous } from '@papayahill/common'
import type { DomainId, InstanceId } from '@papayahill/common'
import { WATCHERS } from './constants.js'

/** An instance that may watch a table for others. */
export interface WatchCandidate {
  readonly id: InstanceId
  readonly domain: DomainId
}

/**
 * The instances that follow a table in the store for all others: the first in rendezvous order, each in a failure
 * domain of its own while there are as many, so that the loss of one leaves the others.
 *
 * @example
 * watchersOf('servers', instances).some(({ id }) => id === self)
 */
export const watchersOf = (table: string, instances: readonly WatchCandidate[]): readonly WatchCandidate[] => {
  const ranked = byRendezvous(table, instances, ({ id }) => id)
  const domains = new Set<DomainId>()
  const apart = ranked.filter(({ domain }) => !domains.has(domain) && domains.add(domain))
  return [...apart, ...ranked.filter((one) => !apart.includes(one))].slice(0, WATCHERS)
}

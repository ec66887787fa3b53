import { millis, MILLIS_PER_SECOND } from '@papayahill/common'
import type { Clock, DomainId, EndpointId, EndpointIncarnation, Incarnation, Millis, Random, ServiceId } from '@papayahill/common'
import type { ServiceKind } from '@papayahill/settings'
import { chooseWatched, sharersOf } from './chooseWatched.js'
import { SLOT_OWNERS, WARM_POLLS_PER_SECOND, WARM_POLLS_PER_SECOND_MANY, WARM_REPORT_PERIOD } from './constants.js'
import type { EndpointEntry } from './EndpointEntry.js'
import { EndpointWatch } from './EndpointWatch.js'
import type { WatchEffect } from './EndpointWatch.js'
import type { Nearness } from './ServicePool.js'
import { isSlotCandidate } from './slots.js'
import type { EndpointAccess, RosterCopy, RosterIncarnation } from './types.js'

export interface WatchManagerOptions {
  readonly self: Incarnation
  readonly clock: Clock
  readonly random: Random
  readonly access: EndpointAccess
  readonly roster: RosterCopy
  readonly domainsOut: () => ReadonlySet<DomainId>
  readonly serviceKind: (service: ServiceId) => ServiceKind | undefined
  readonly nearness: (domain: DomainId) => Nearness
  readonly onChange: (entry: EndpointEntry, effect: WatchEffect) => void
  readonly onEnd: (entry: EndpointEntry) => void
  readonly onIncarnationEnded: (incarnation: EndpointIncarnation) => void
}

const groupByVersion = (entries: readonly EndpointEntry[]): Iterable<readonly EndpointEntry[]> => {
  const groups = new Map<string, EndpointEntry[]>()
  for (const entry of entries) {
    const key = `${entry.listed.service} ${entry.listed.version}`
    const group = groups.get(key) ?? []
    group.push(entry)
    groups.set(key, group)
  }
  return groups.values()
}

/**
 * Watches a bounded subset of the listed endpoints: opens their connections and polls their reports, at a
 * rate that one instance can sustain.
 *
 * @example
 * const manager = new WatchManager({ self, clock, random, access, roster, domainsOut, serviceKind, nearness, onChange, onEnd })
 * manager.choose([...entries.values()])
 */
export class WatchManager {
  readonly #options: WatchManagerOptions
  readonly #watches = new Map<EndpointEntry, EndpointWatch>()

  /** Cached results of {@link isSlotCandidate} under one roster. */
  #slotted: { readonly version: number, readonly answers: Map<EndpointId, boolean> } = { version: -1, answers: new Map() }

  constructor (options: WatchManagerOptions) {
    this.#options = options
  }

  get watched (): Iterable<EndpointEntry> {
    return this.#watches.keys()
  }

  isWatched (entry: EndpointEntry): boolean {
    return this.#watches.has(entry)
  }

  pollNow (entry: EndpointEntry): void {
    this.#watches.get(entry)?.pollNow()
  }

  /** Starts and stops watches to match the listed endpoints, the domains that are out, and nearness. */
  choose (entries: readonly EndpointEntry[]): void {
    const out = this.#options.domainsOut()
    const usable = entries.filter(({ isUnlisted, listed }) =>
      !isUnlisted && listed.state === 'live' && !out.has(listed.domain))
    const chosen = new Set<EndpointId>()
    for (const group of groupByVersion(usable)) for (const id of this.#chooseFrom(group)) chosen.add(id)
    for (const entry of usable) if (chosen.has(entry.listed.id) && !this.isWatched(entry)) this.#watch(entry)
    for (const entry of this.#watches.keys()) if (!chosen.has(entry.listed.id)) this.#unwatch(entry)
  }

  /** Period of report polls of a warm endpoint. */
  warmPeriod (): Millis {
    const isSmall = this.#options.roster.view().members.length <= SLOT_OWNERS
    const rate = isSmall ? WARM_POLLS_PER_SECOND : WARM_POLLS_PER_SECOND_MANY
    return millis(Math.max(WARM_REPORT_PERIOD, this.#watches.size * MILLIS_PER_SECOND / rate))
  }

  /** Instances whose calls may continue through an endpoint's restart that keeps connections. */
  instances (): readonly RosterIncarnation[] {
    const { members, departed } = this.#options.roster.view()
    return [...members, ...departed]
  }

  stop (): void {
    for (const watch of this.#watches.values()) watch.stop()
    this.#watches.clear()
  }

  #chooseFrom (group: readonly EndpointEntry[]): ReadonlySet<EndpointId> {
    const { roster, self, nearness } = this.#options
    const { members } = roster.view()
    for (const entry of group) entry.sharers = sharersOf(members.length, group.length)
    return chooseWatched({
      self,
      endpoints: group.map((entry) => entry.listed),
      isSlotted: (endpoint) => this.#isSlotted(endpoint),
      nearness: (endpoint) => nearness(endpoint.domain)
    })
  }

  #isSlotted (endpoint: EndpointId): boolean {
    const { version, members } = this.#options.roster.view()
    if (this.#slotted.version !== version) this.#slotted = { version, answers: new Map() }
    const { answers } = this.#slotted
    const known = answers.get(endpoint)
    if (known !== undefined) return known
    const answer = isSlotCandidate(members, endpoint, this.#options.self)
    answers.set(endpoint, answer)
    return answer
  }

  #watch (entry: EndpointEntry): void {
    const { clock, random, access, serviceKind, onChange, onIncarnationEnded } = this.#options
    const watch = new EndpointWatch({
      entry,
      clock,
      random,
      access,
      kind: () => serviceKind(entry.listed.service),
      instances: () => this.instances(),
      warmPeriod: () => this.warmPeriod(),
      onChange: (effect) => onChange(entry, effect),
      onEnded: onIncarnationEnded
    })
    this.#watches.set(entry, watch)
    watch.start()
  }

  /** Ends a watch unless calls are in progress there; the next {@link WatchManager.choose} tries again. */
  #unwatch (entry: EndpointEntry): void {
    if (entry.busy > 0) return
    this.#watches.get(entry)?.stop()
    this.#watches.delete(entry)
    this.#options.onEnd(entry)
  }
}

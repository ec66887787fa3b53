import { firstByRendezvous, millis } from '@papayahill/common'
import type { Clock, InstanceId, Millis, Random } from '@papayahill/common'
import {
  MAX_REPLY_SPREAD, MAX_REPORT_SPREAD, PUBLISH_FALLBACK, REPLY_SPREAD_PER_INSTANCE, REPORT_SPREAD_PER_INSTANCE
} from './constants.js'
import type { QuarantineGossip } from './QuarantineGossip.js'
import type { BegunNotice } from './quarantineMessages.js'
import { keyOf } from './QuarantineTable.js'
import type { CrashReport, PartId, Quarantine, ScopeId } from './types.js'

export interface QuarantineAnnouncerOptions {
  readonly clock: Clock
  readonly random: Random
  readonly self: InstanceId
  readonly instances: () => readonly InstanceId[]
  readonly gossip: QuarantineGossip
}

/**
 * Tells other instances of crashes, cleared parts and quarantines. Each instance waits for a random time first, so that the one
 * that tells them first spares the others.
 *
 * @example
 * announcer.crashLater(incarnation, () => untoldReport())
 */
export class QuarantineAnnouncer {
  readonly #options: QuarantineAnnouncerOptions
  /** Incarnations whose crash this instance is about to tell. */
  readonly #reporting = new Set<string>()
  /** Parts whose innocence this instance is about to tell, by scope. */
  readonly #replies = new Map<ScopeId, Set<PartId>>()

  constructor (options: QuarantineAnnouncerOptions) {
    this.#options = options
  }

  /** Tells of a crash what `untold` returns later; nothing if that is undefined. */
  crashLater (incarnation: string, untold: () => CrashReport | undefined): void {
    if (this.#reporting.has(incarnation)) return
    this.#reporting.add(incarnation)
    this.#afterSpread(REPORT_SPREAD_PER_INSTANCE, MAX_REPORT_SPREAD, () => {
      this.#reporting.delete(incarnation)
      const report = untold()
      if (report !== undefined) this.#options.gossip.publish(incarnation, { kind: 'crash', report })
    })
  }

  /** Tells at once that answers have begun on these parts. */
  begun (notice: BegunNotice): void {
    this.#options.gossip.publish(keyOf(notice), { kind: 'begun', notice })
  }

  /** The same after a random time, but for parts of which another instance tells it first. */
  begunLater (scope: ScopeId, parts: readonly PartId[]): void {
    const pending = this.#replies.get(scope) ?? new Set()
    this.#replies.set(scope, pending)
    for (const part of parts) pending.add(part)
    this.#afterSpread(REPLY_SPREAD_PER_INSTANCE, MAX_REPLY_SPREAD, () => {
      const untold = parts.filter((part) => pending.delete(part))
      if (untold.length > 0) this.begun({ scope, parts: untold })
    })
  }

  /** Another instance has told that answers have begun on the part. */
  begunTold (scope: ScopeId, part: PartId): void {
    this.#replies.get(scope)?.delete(part)
  }

  /** One instance publishes the quarantine for those that join later; another does if it has not been published soon. */
  quarantine (quarantine: Quarantine, isUntold: () => boolean): void {
    const { clock, random, instances, self, gossip } = this.#options
    const key = keyOf(quarantine)
    const publish = (): void => gossip.publish(key, { kind: 'quarantine', quarantine })
    if (firstByRendezvous(key, instances(), (id) => id) === self) return publish()
    clock.after(millis(PUBLISH_FALLBACK * (1 + random.next())), () => { if (isUntold()) publish() })
  }

  #afterSpread (perInstance: Millis, most: Millis, act: () => void): void {
    const { clock, random, instances } = this.#options
    const spread = Math.min(most, instances().length * perInstance)
    clock.after(millis(random.next() * spread), act)
  }
}

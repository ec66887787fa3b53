import { millis } from '@papayahill/common'
import type { Incarnation, Millis } from '@papayahill/common'
import { CLOCK_DRIFT, COLD_SLOTS_MAX, DEPARTED_CALL_MAX, ROSTER_MAX_AGE } from './constants.js'
import { earlierOwners, slotCandidates, slotOwner } from './slots.js'
import type { SlottedEndpoint } from './slots.js'
import type { RosterIncarnation, RosterRecord } from './types.js'

/** Time after which an earlier owner has certainly stopped using a slot, even if it was not notified of the loss. */
const LAST_USE_DELAY = millis(ROSTER_MAX_AGE + CLOCK_DRIFT)

/** An instance that may still have a call on a slot. */
interface EarlierOwner {
  readonly instance: RosterIncarnation
  /** When this instance first saw a roster under which the other does not own the slot. */
  readonly lostAt: Millis
  readonly isDeparted: boolean
}

interface OwnedSlot {
  readonly pending: Map<Incarnation, EarlierOwner>
  /** Roster version up to which no other instance can have a call on it; undefined before it was first clear. */
  clearAt: number | undefined
}

/** An instance's answer about its calls on one endpoint's slots. */
export interface SlotAnswer {
  readonly incarnation: Incarnation
  /** Minimum version of its roster copy. */
  readonly version: number
  /** Slots on which it still has calls. */
  readonly busy: readonly number[]
}

export interface SlotLedgerOptions {
  readonly self: Incarnation
  readonly endpoint: SlottedEndpoint
  /** Instances whose calls continued through the endpoint's restart and may occupy any slot. */
  readonly inheritedFrom?: readonly RosterIncarnation[]
}

/**
 * The slots of one cold endpoint incarnation that this instance owns, and which of them it may use.
 * A gained slot is clear once every instance that may have owned it has no calls left on it.
 *
 * @example
 * const ledger = new SlotLedger({ self: self.incarnation, endpoint })
 * ledger.update(record, seenAt, report.bears)
 * const slot = ledger.take()
 */
export class SlotLedger {
  readonly #self: Incarnation
  readonly #endpoint: SlottedEndpoint
  #inheritedFrom: readonly RosterIncarnation[]
  readonly #owned = new Map<number, OwnedSlot>()
  /** Slots on which this instance has calls, including slots that it has lost since. */
  readonly #calls = new Set<number>()
  /** Slots whose calls may still be running at the endpoint, and when they become free. */
  readonly #uncertainUntil = new Map<number, Millis>()
  #version = 0
  #total = 0

  constructor (options: SlotLedgerOptions) {
    this.#self = options.self
    this.#endpoint = options.endpoint
    this.#inheritedFrom = options.inheritedFrom ?? []
  }

  get endpoint (): SlottedEndpoint {
    return this.#endpoint
  }

  /** Number of slots that are owned and clear, busy ones included. */
  get clear (): number {
    return [...this.#owned.values()].filter((slot) => slot.pending.size === 0).length
  }

  /** Slots on which this instance has calls, including lost ones. */
  get busy (): readonly number[] {
    return [...this.#calls]
  }

  /** Roster version of the last update. */
  get version (): number {
    return this.#version
  }

  /** Assigns `total` slots under a roster that this instance first saw at `seenAt`. Lost slots are released at once. */
  update (record: RosterRecord, seenAt: Millis, total: number): void {
    const isSameRoster = record.version === this.#version
    if (isSameRoster && total === this.#total) return
    const first = isSameRoster ? Math.min(total, this.#total) : 0
    this.#version = record.version
    this.#total = total
    const candidates = slotCandidates(record.members, this.#endpoint.id)
    for (let slot = first; slot < Math.min(total, COLD_SLOTS_MAX); slot++) {
      const isOwn = slotOwner(candidates, this.#endpoint, slot)?.incarnation === this.#self
      if (isOwn) this.#updateOwned(slot, record, seenAt)
      else this.#owned.delete(slot)
    }
    for (const slot of this.#owned.keys()) if (slot >= total) this.#owned.delete(slot)
  }

  /** Calls of an earlier incarnation of the endpoint continue: no slot is clear until each of these instances confirms it. */
  inheritCalls (instances: readonly RosterIncarnation[], record: RosterRecord, seenAt: Millis): void {
    if (this.#inheritedFrom.length > 0) return
    this.#inheritedFrom = instances
    for (const slot of this.#owned.values()) for (const instance of instances) this.#awaitOwner(slot, instance, record, seenAt)
  }

  /** Instances whose answer is still missing for some slot. */
  awaitedOwners (): readonly RosterIncarnation[] {
    const instances = new Map<Incarnation, RosterIncarnation>()
    for (const slot of this.#owned.values()) {
      for (const [incarnation, owner] of slot.pending) instances.set(incarnation, owner.instance)
    }
    return [...instances.values()]
  }

  /** Applies an answer; it counts only if the answering instance has seen a roster at least as new as this one. */
  receive (answer: SlotAnswer, rosterVersion: number): void {
    if (answer.version < rosterVersion || rosterVersion !== this.#version) return
    for (const [index, slot] of this.#owned) {
      if (answer.busy.includes(index)) continue
      if (slot.pending.delete(answer.incarnation)) this.#updateClearAt(slot)
    }
  }

  /**
   * Clears earlier owners whose calls have ended by time: those that departed long ago, or departed before the endpoint's
   * current incarnation started, which was after `olderIncarnationSeenAt`. Also frees own slots of uncertain calls.
   */
  expire (now: Millis, olderIncarnationSeenAt: Millis): void {
    for (const [slot, at] of this.#uncertainUntil) if (now >= at) this.#endUncertainty(slot)
    for (const slot of this.#owned.values()) {
      for (const [incarnation, owner] of slot.pending) {
        const lastUse = owner.lostAt + LAST_USE_DELAY
        const isOver = owner.isDeparted && (now >= lastUse + DEPARTED_CALL_MAX || olderIncarnationSeenAt >= lastUse)
        if (isOver) slot.pending.delete(incarnation)
      }
      this.#updateClearAt(slot)
    }
  }

  /**
   * Clears slots by a report requested at `askedAt` that shows at most `others` calls of other instances: their remaining
   * calls occupy at most that many of the slots on which no other instance can start a call any more.
   */
  clearByReport (askedAt: Millis, others: number): void {
    const waiting = [...this.#owned.values()].filter((slot) => slot.pending.size > 0 &&
      [...slot.pending.values()].every((owner) => askedAt >= owner.lostAt + LAST_USE_DELAY))
    for (const slot of waiting.slice(Math.max(0, others))) {
      slot.pending.clear()
      this.#updateClearAt(slot)
    }
  }

  /** Occupies a clear and idle slot; undefined if there is none. */
  take (): number | undefined {
    for (const [index, slot] of this.#owned) {
      if (slot.pending.size > 0 || this.#calls.has(index)) continue
      this.#calls.add(index)
      return index
    }
    return undefined
  }

  /** Whether the slot is owned and no earlier owner may still use it. */
  isClear (slot: number): boolean {
    return this.#owned.get(slot)?.pending.size === 0
  }

  free (slot: number): void {
    this.#calls.delete(slot)
  }

  /** Frees a slot at a later time, by {@link SlotLedger.expire}. */
  freeAt (slot: number, at: Millis): void {
    this.#uncertainUntil.set(slot, at)
  }

  /** Whether {@link SlotLedger.take} would find a slot. */
  hasFreeSlot (): boolean {
    for (const [index, slot] of this.#owned) if (slot.pending.size === 0 && !this.#calls.has(index)) return true
    return false
  }

  #updateOwned (index: number, record: RosterRecord, seenAt: Millis): void {
    const known = this.#owned.get(index)
    const slot = known ?? { pending: new Map<Incarnation, EarlierOwner>(), clearAt: undefined }
    this.#owned.set(index, slot)
    const before = earlierOwners(record, this.#endpoint, index, slot.clearAt)
    const inherited = known === undefined ? this.#inheritedFrom : []
    for (const instance of [...before, ...inherited]) this.#awaitOwner(slot, instance, record, seenAt)
    this.#updateClearAt(slot)
  }

  #awaitOwner (slot: OwnedSlot, instance: RosterIncarnation, record: RosterRecord, seenAt: Millis): void {
    if (instance.incarnation === this.#self) return
    const isDeparted = record.departed.some((departed) => departed.incarnation === instance.incarnation)
    const lostAt = slot.pending.get(instance.incarnation)?.lostAt ?? seenAt
    slot.pending.set(instance.incarnation, { instance, lostAt, isDeparted })
  }

  #endUncertainty (slot: number): void {
    this.#uncertainUntil.delete(slot)
    this.#calls.delete(slot)
  }

  #updateClearAt (slot: OwnedSlot): void {
    if (slot.pending.size === 0) slot.clearAt = this.#version
  }
}

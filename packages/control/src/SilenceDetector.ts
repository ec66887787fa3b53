import { millis } from '@papayahill/common'
import type { Clock, Incarnation, Millis } from '@papayahill/common'
import type { PeerMember } from '@papayahill/peers'
import { SUSPECT_AFTER, SUSPECT_AGAIN_AFTER } from './constants.js'
import type { RosterMember } from './types.js'

/** Detects roster members that have been missing from this instance's live peers for {@link SUSPECT_AFTER}. */
export class SilenceDetector {
  readonly #clock: Clock
  readonly #missingSince = new Map<Incarnation, Millis>()
  readonly #notBefore = new Map<Incarnation, Millis>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Incarnations of `members` that have been missing from `peers` for at least {@link SUSPECT_AFTER}. */
  silentIncarnations (members: readonly RosterMember[], peers: readonly PeerMember[]): readonly Incarnation[] {
    const now = this.#clock.now()
    const alive = new Set(peers.map((peer) => peer.incarnation))
    const incarnations = members.map((member) => member.incarnation)
    this.#retainOnly(incarnations.filter((incarnation) => !alive.has(incarnation)))
    const missing = incarnations.filter((incarnation) => !alive.has(incarnation))
    for (const incarnation of missing) if (!this.#missingSince.has(incarnation)) this.#missingSince.set(incarnation, now)
    return missing.filter((incarnation) => now - this.#missingSince.get(incarnation)! >= SUSPECT_AFTER)
  }

  /** False for {@link SUSPECT_AGAIN_AFTER} after a suspicion, so that a member that cleared its mark is not marked again at once. */
  canSuspect (incarnation: Incarnation): boolean {
    return this.#clock.now() >= (this.#notBefore.get(incarnation) ?? 0)
  }

  noteSuspected (incarnation: Incarnation): void {
    this.#notBefore.set(incarnation, millis(this.#clock.now() + SUSPECT_AGAIN_AFTER))
  }

  #retainOnly (incarnations: readonly Incarnation[]): void {
    for (const incarnation of this.#missingSince.keys()) {
      if (incarnations.includes(incarnation)) continue
      this.#missingSince.delete(incarnation)
      this.#notBefore.delete(incarnation)
    }
  }
}

import { millis } from '@papayahill/common'
import type { Clock, Incarnation, Millis } from '@papayahill/common'
import type { PeerMember } from '@papayahill/peers'
import { SUSPECT_AFTER, SUSPECT_AGAIN_AFTER } from './constants.js'
import type { RosterMember } from './types.js'

/** Tells which lives of the roster have been silent here for long. */
export class SilenceWatch {
  readonly #clock: Clock
  readonly #missingSince = new Map<Incarnation, Millis>()
  readonly #notBefore = new Map<Incarnation, Millis>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Lives in the roster that no peer message has come from for {@link SUSPECT_AFTER}. */
  silentLives (members: readonly RosterMember[], heard: readonly PeerMember[]): readonly Incarnation[] {
    const now = this.#clock.now()
    const heardLives = new Set(heard.map((peer) => peer.incarnation))
    const lives = members.map((member) => member.incarnation)
    this.#forgetAllBut(lives.filter((life) => !heardLives.has(life)))
    const missing = lives.filter((life) => !heardLives.has(life))
    for (const life of missing) if (!this.#missingSince.has(life)) this.#missingSince.set(life, now)
    return missing.filter((life) => now - this.#missingSince.get(life)! >= SUSPECT_AFTER)
  }

  /** False for a while after a suspicion, so that a life which cleared its mark is not marked again at once. */
  maySuspect (life: Incarnation): boolean {
    return this.#clock.now() >= (this.#notBefore.get(life) ?? 0)
  }

  noteSuspected (life: Incarnation): void {
    this.#notBefore.set(life, millis(this.#clock.now() + SUSPECT_AGAIN_AFTER))
  }

  #forgetAllBut (lives: readonly Incarnation[]): void {
    for (const life of this.#missingSince.keys()) {
      if (lives.includes(life)) continue
      this.#missingSince.delete(life)
      this.#notBefore.delete(life)
    }
  }
}

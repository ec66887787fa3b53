import { isJsonObject, millis } from '@papayahill/common'
import type { Clock, Incarnation, InstanceId, Json, Millis, Random, Timer } from '@papayahill/common'
import type { GossipEntry, Peers } from '@papayahill/peers'
import { ASK_TIMEOUT, IN_FORCE_ASKED, IN_FORCE_ASK_PERIOD, IN_FORCE_DELAY, RELAY_MIN_MEMBERS } from './constants.js'
import type { InForce, Roster, RosterMember } from './types.js'

const IN_FORCE = 'in-force'

export interface InForceBookOptions {
  readonly self: InstanceId
  readonly clock: Clock
  readonly random: Random
  readonly peers: Peers
  readonly roster: Pick<Roster, 'view'>
  /** The version in force here. */
  readonly version: () => number
}

/** The version that a peer's message names; 0 for none. */
export const versionOf = (value: Json): number =>
  isJsonObject(value) && typeof value['version'] === 'number' ? value['version'] : 0

/**
 * Knows which version is in force where. Few instances tell each other at once. Many would spend more
 * on that than on the changes, so they tell rarely, and whoever waits asks those that seem behind.
 */
export class InForceBook {
  readonly #options: InForceBookOptions
  readonly #heard = new Map<Incarnation, number>()
  readonly #checks = new Set<() => void>()
  #later: Timer | undefined

  constructor (options: InForceBookOptions) {
    this.#options = options
    for (const topic of ['config', 'roster'] as const) options.peers.onEntry(topic, (entry) => this.#hear(entry))
  }

  /** Says what is in force here: at once, or where there are many instances within a while. */
  tell (): void {
    if (!this.#isLarge()) {
      this.#publish('config')
    } else if (this.#later === undefined) {
      const { clock, random } = this.#options
      this.#later = clock.after(millis(IN_FORCE_DELAY * (1 + random.next())), () => {
        this.#later = undefined
        this.#publish('roster')
      })
    }
    this.#check()
  }

  stop (): void {
    this.#later?.cancel()
  }

  all (): readonly InForce[] {
    return this.#options.roster.view().members.map((member) => ({ instance: member.id, version: this.#versionAt(member) }))
  }

  /** Resolves to true once every instance of the roster has the version in force, to false after `limit`. */
  async whenEverywhere (version: number, limit: Millis): Promise<boolean> {
    const isEverywhere = (): boolean => this.#behind(version).length === 0 && this.all().length > 0
    if (isEverywhere()) return true
    const { clock } = this.#options
    return await new Promise((resolve) => {
      const asking = clock.every(IN_FORCE_ASK_PERIOD, () => { void this.#askSome(version).then(check) })
      const end = (isDone: boolean): void => {
        timer.cancel()
        asking.cancel()
        this.#checks.delete(check)
        resolve(isDone)
      }
      const check = (): void => { if (isEverywhere()) end(true) }
      const timer = clock.after(limit, () => end(isEverywhere()))
      this.#checks.add(check)
    })
  }

  #hear (entry: GossipEntry): void {
    if (entry.key !== IN_FORCE) return
    this.#note(entry.incarnation, versionOf(entry.value))
    this.#check()
  }

  #note (life: Incarnation, version: number): void {
    this.#heard.set(life, Math.max(version, this.#heard.get(life) ?? 0))
  }

  #versionAt (member: RosterMember): number {
    return member.id === this.#options.self ? this.#options.version() : this.#heard.get(member.incarnation) ?? 0
  }

  #behind (version: number): readonly RosterMember[] {
    return this.#options.roster.view().members.filter((member) => this.#versionAt(member) < version)
  }

  async #askSome (version: number): Promise<void> {
    const asked = this.#behind(version).filter((member) => member.id !== this.#options.self).slice(0, IN_FORCE_ASKED)
    const question = { kind: 'version' }
    await Promise.all(asked.map(async ({ id, incarnation }) => {
      const answer = await this.#options.peers.ask(id, 'config', question, ASK_TIMEOUT)
      if (answer.isOk) this.#note(incarnation, versionOf(answer.value))
    }))
  }

  /** Forgets lives that the roster no longer names, then tells who waits. */
  #check (): void {
    const lives = new Set(this.#options.roster.view().members.map((member) => member.incarnation))
    if (this.#heard.size > 2 * lives.size + RELAY_MIN_MEMBERS) {
      for (const life of this.#heard.keys()) if (!lives.has(life)) this.#heard.delete(life)
    }
    for (const check of [...this.#checks]) check()
  }

  #isLarge (): boolean {
    return this.#options.roster.view().members.length >= RELAY_MIN_MEMBERS
  }

  #publish (topic: 'config' | 'roster'): void {
    this.#options.peers.publish(topic, IN_FORCE, { version: this.#options.version() })
  }
}

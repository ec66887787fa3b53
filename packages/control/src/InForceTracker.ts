import { isJsonObject, millis } from '@papayahill/common'
import type { Clock, Incarnation, InstanceId, Json, Millis, Random, Timer } from '@papayahill/common'
import type { GossipEntry, Peers } from '@papayahill/peers'
import { ASK_TIMEOUT, IN_FORCE_ASK_PERIOD, IN_FORCE_DELAY, IN_FORCE_MAX_ASKED, RELAY_MIN_MEMBERS } from './constants.js'
import type { InForce, Roster, RosterMember } from './types.js'

/** Key of the gossip entry with an instance's version in force. */
const IN_FORCE = 'in-force'

export interface InForceTrackerOptions {
  readonly self: InstanceId
  readonly clock: Clock
  readonly random: Random
  readonly peers: Peers
  readonly roster: Pick<Roster, 'view'>
  /** The version in force on this instance. */
  readonly version: () => number
}

/** The version in a peer's message; 0 if there is none. */
export const versionOf = (value: Json): number =>
  isJsonObject(value) && typeof value['version'] === 'number' ? value['version'] : 0

/**
 * Tracks the configuration version in force on each instance. In a small cluster each instance publishes its version
 * immediately. In a large one these messages would cost more than the changes themselves, so instances publish with a delay
 * and a waiting instance asks those that appear to be behind.
 */
export class InForceTracker {
  readonly #options: InForceTrackerOptions
  readonly #reportedVersions = new Map<Incarnation, number>()
  readonly #waiters = new Set<() => void>()
  #delayedPublish: Timer | undefined

  constructor (options: InForceTrackerOptions) {
    this.#options = options
    for (const topic of ['config', 'roster'] as const) options.peers.onEntry(topic, (entry) => this.#receiveEntry(entry))
  }

  /** Publishes the local version: immediately, or after {@link IN_FORCE_DELAY} to twice that in a large cluster. */
  publishVersion (): void {
    if (!this.#isLarge()) {
      this.#publish('config')
    } else if (this.#delayedPublish === undefined) {
      const { clock, random } = this.#options
      this.#delayedPublish = clock.after(millis(IN_FORCE_DELAY * (1 + random.next())), () => {
        this.#delayedPublish = undefined
        // Entries of the `config` topic are sent at once over every link; those of `roster` are queued and rate limited.
        this.#publish('roster')
      })
    }
    this.#notifyWaiters()
  }

  stop (): void {
    this.#delayedPublish?.cancel()
  }

  all (): readonly InForce[] {
    return this.#options.roster.view().members.map((member) => ({ instance: member.id, version: this.#versionAt(member) }))
  }

  /** Resolves to true once the version is in force on all instances of the roster, or to false after `limit`. */
  async whenEverywhere (version: number, limit: Millis): Promise<boolean> {
    const isEverywhere = (): boolean => this.#behind(version).length === 0 && this.all().length > 0
    if (isEverywhere()) return true
    const { clock } = this.#options
    return await new Promise((resolve) => {
      const asking = clock.every(IN_FORCE_ASK_PERIOD, () => { void this.#askBehind(version).then(check) })
      const end = (isDone: boolean): void => {
        timer.cancel()
        asking.cancel()
        this.#waiters.delete(check)
        resolve(isDone)
      }
      const check = (): void => { if (isEverywhere()) end(true) }
      const timer = clock.after(limit, () => end(isEverywhere()))
      this.#waiters.add(check)
    })
  }

  #receiveEntry (entry: GossipEntry): void {
    if (entry.key !== IN_FORCE) return
    this.#recordVersion(entry.incarnation, versionOf(entry.value))
    this.#notifyWaiters()
  }

  #recordVersion (incarnation: Incarnation, version: number): void {
    this.#reportedVersions.set(incarnation, Math.max(version, this.#reportedVersions.get(incarnation) ?? 0))
  }

  #versionAt (member: RosterMember): number {
    return member.id === this.#options.self ? this.#options.version() : this.#reportedVersions.get(member.incarnation) ?? 0
  }

  #behind (version: number): readonly RosterMember[] {
    return this.#options.roster.view().members.filter((member) => this.#versionAt(member) < version)
  }

  async #askBehind (version: number): Promise<void> {
    const asked = this.#behind(version).filter((member) => member.id !== this.#options.self).slice(0, IN_FORCE_MAX_ASKED)
    const question = { kind: 'version' }
    await Promise.all(asked.map(async ({ id, incarnation }) => {
      const answer = await this.#options.peers.ask(id, 'config', question, ASK_TIMEOUT)
      if (answer.isOk) this.#recordVersion(incarnation, versionOf(answer.value))
    }))
  }

  /** Removes incarnations that have left the roster, then notifies the waiters. */
  #notifyWaiters (): void {
    const incarnations = new Set(this.#options.roster.view().members.map((member) => member.incarnation))
    if (this.#reportedVersions.size > 2 * incarnations.size + RELAY_MIN_MEMBERS) {
      for (const reporter of this.#reportedVersions.keys()) if (!incarnations.has(reporter)) this.#reportedVersions.delete(reporter)
    }
    for (const check of [...this.#waiters]) check()
  }

  #isLarge (): boolean {
    return this.#options.roster.view().members.length >= RELAY_MIN_MEMBERS
  }

  #publish (topic: 'config' | 'roster'): void {
    this.#options.peers.publish(topic, IN_FORCE, { version: this.#options.version() })
  }
}

import { isJsonObject, millis, pickOne, SILENT_LOG } from '@papayahill/common'
import type { Clock, EventLog, Incarnation, InstanceId, Json, Millis, Random, Timer } from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import type { Row, TableService } from '@papayahill/stores'
import {
  ASK_TIMEOUT, MAX_UPDATE_TRIES, RELAY_MIN_MEMBERS, REMOVE_AFTER, ROSTER_PERIOD, ROSTER_RELAY_MAX_AGE
} from './constants.js'
import { CONTROL_EVENTS } from './events.js'
import { decodeRoster, EMPTY_ROSTER, encodeRoster, hasMember, ROSTER_KEY, withMember, withoutMembers, withoutSuspicion, withSuspicion } from './rosterRecord.js'
import type { RosterRecord } from './rosterRecord.js'
import { SilenceDetector } from './SilenceDetector.js'
import type { Roster, RosterView } from './types.js'

export interface RosterManagerOptions {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly clock: Clock
  readonly random: Random
  readonly table: TableService
  readonly peers: Peers
  /** Number of members from which on confirmations are relayed between peers. */
  readonly relayFrom?: number
  readonly log?: EventLog
}

type Change = (record: RosterRecord) => RosterRecord

/** Fraction of the period by which each wait varies, so that instances do not read in lockstep. */
const JITTER = 0.2

/**
 * Keeps this instance in the roster record and maintains an up-to-date local copy of the record. All changes are
 * conditional updates of one row. A silent member is marked as suspected first and removed only if it does not clear the
 * mark, so that a broken connection between two running instances does not remove either of them.
 *
 * @example
 * const roster = new RosterManager({ self, incarnation, clock, random, table, peers, log })
 * await roster.start()
 * roster.age() // milliseconds since the read that confirmed the copy began
 */
export class RosterManager implements Roster {
  readonly #options: RosterManagerOptions
  readonly #log: EventLog
  readonly #listeners: Array<(view: RosterView) => void> = []
  readonly #silence: SilenceDetector
  readonly #suspectedAt = new Map<Incarnation, Millis>()
  #record: RosterRecord = EMPTY_ROSTER
  #confirmedAt: Millis | undefined
  #timer: Timer | undefined
  #isRunning = false
  #wantsMembership = false
  #hasJoined = false
  #isUnreadable = false

  constructor (options: RosterManagerOptions) {
    this.#options = options
    this.#log = options.log ?? SILENT_LOG
    this.#silence = new SilenceDetector(options.clock)
    options.peers.handle('roster', (_from, message) => this.#answerPeer(message))
  }

  /** Joins the roster; retries in the background while the store is unreachable. */
  async start (): Promise<void> {
    this.#isRunning = true
    this.#wantsMembership = true
    await this.#refresh()
    this.#schedule()
  }

  /** Stops the timers without leaving the roster, like a crash. */
  stop (): void {
    this.#isRunning = false
    this.#timer?.cancel()
  }

  /** Leaves the roster; true if the store has recorded it. */
  async leave (): Promise<boolean> {
    this.#wantsMembership = false
    const { incarnation, clock } = this.#options
    const hasLeft = await this.#update((record) => withoutMembers(record, (member) => member.incarnation === incarnation, clock.wall()))
    if (hasLeft) this.#log.emit(CONTROL_EVENTS.left, { version: this.#record.version })
    this.stop()
    return hasLeft
  }

  view (): RosterView {
    const { version, members, departed } = this.#record
    return { version, members, departed, confirmedAt: this.#confirmedAt }
  }

  age (): Millis {
    return millis(this.#confirmedAt === undefined ? Infinity : this.#options.clock.now() - this.#confirmedAt)
  }

  isMember (): boolean {
    return hasMember(this.#record, this.#options.incarnation)
  }

  onChange (listener: (view: RosterView) => void): void {
    this.#listeners.push(listener)
  }

  #schedule (): void {
    if (!this.#isRunning) return
    const jitter = 1 + JITTER * (this.#options.random.next() * 2 - 1)
    this.#timer = this.#options.clock.after(millis(ROSTER_PERIOD * jitter), () => { void this.#tick() })
  }

  async #tick (): Promise<void> {
    await this.#confirm()
    await this.#checkOthers()
    this.#schedule()
  }

  /** Confirms the copy through a peer if there are many instances, otherwise by reading the store. */
  async #confirm (): Promise<void> {
    const relayFrom = this.#options.relayFrom ?? RELAY_MIN_MEMBERS
    if (this.#record.members.length >= relayFrom && await this.#askPeer()) return
    await this.#refresh()
  }

  async #refresh (): Promise<void> {
    const readStartedAt = this.#options.clock.now()
    const read = await this.#options.table.read([ROSTER_KEY])
    if (read.isErr) return this.#noteUnreadable()
    this.#isUnreadable = false
    await this.#processRead(read.value[0], readStartedAt)
  }

  #noteUnreadable (): void {
    if (!this.#isUnreadable) this.#log.emit(CONTROL_EVENTS.rosterUnreadable, { age: this.age() })
    this.#isUnreadable = true
  }

  /** Adopts the record that was read, then repairs an outdated record, a missing membership or a suspicion of this instance. */
  async #processRead (row: Row | undefined, readStartedAt: Millis): Promise<void> {
    const record = decodeRoster(row?.value ?? null)
    if (record.version < this.#record.version) return await this.#repair()
    this.#adopt(record, readStartedAt)
    if (!this.#isRunning || !this.#wantsMembership) return
    if (!this.isMember()) await this.#join()
    else if (record.suspected.includes(this.#options.incarnation)) await this.#clearSuspicion()
  }

  #adopt (record: RosterRecord, readStartedAt: Millis): void {
    if (record.version < this.#record.version) return
    const isNew = record.version !== this.#record.version
    const wasMember = this.isMember()
    this.#record = record
    this.#confirmedAt = millis(Math.max(readStartedAt, this.#confirmedAt ?? readStartedAt))
    if (wasMember && !this.isMember() && this.#wantsMembership) this.#log.emit(CONTROL_EVENTS.removed, { version: record.version })
    if (isNew) for (const listener of this.#listeners) listener(this.view())
  }

  async #join (): Promise<void> {
    const { self, incarnation, clock } = this.#options
    await this.#update((record) => withMember(record, self, incarnation, clock.wall()))
    const isJoined = this.isMember()
    if (isJoined) this.#log.emit(CONTROL_EVENTS.joined, { version: this.#record.version, again: this.#hasJoined })
    this.#hasJoined ||= isJoined
  }

  async #clearSuspicion (): Promise<void> {
    const isCleared = await this.#update((record) => withoutSuspicion(record, this.#options.incarnation))
    if (isCleared) this.#log.emit(CONTROL_EVENTS.suspicionCleared)
  }

  /** Writes back the record after a restore of the store, under a version that has never been used. */
  async #repair (): Promise<void> {
    const known = this.#record
    const isRepaired = await this.#update((record) =>
      record.version < known.version ? { ...known, version: known.version + 1 } : record)
    if (isRepaired) this.#log.emit(CONTROL_EVENTS.rosterRepaired, { version: this.#record.version })
  }

  /** Applies a change by a conditional update; true once the record contains it. */
  async #update (change: Change): Promise<boolean> {
    for (let tries = 0; tries < MAX_UPDATE_TRIES; tries++) {
      const readStartedAt = this.#options.clock.now()
      const read = await this.#options.table.read([ROSTER_KEY])
      if (read.isErr) return false
      const row = read.value[0]!
      const current = decodeRoster(row.value)
      const next = change(current)
      if (next === current) {
        this.#adopt(current, readStartedAt)
        return true
      }
      const written = await this.#options.table.commit({
        conditions: [{ key: ROSTER_KEY, version: row.version }],
        writes: [{ key: ROSTER_KEY, value: encodeRoster(next) }]
      })
      if (written.isOk) {
        this.#adopt(next, readStartedAt)
        return true
      }
      if (written.error.kind === 'unavailable') return false
    }
    return false
  }

  async #askPeer (): Promise<boolean> {
    const { peers, random, clock } = this.#options
    const peer = pickOne(random, peers.members().filter((member) => peers.isConnected(member.id)))
    if (peer === undefined) return false
    const readStartedAt = clock.now()
    const answer = await peers.ask(peer.id, 'roster', { version: this.#record.version }, ASK_TIMEOUT)
    if (answer.isErr || !isJsonObject(answer.value)) return false
    return this.#applyRelayed(answer.value, readStartedAt)
  }

  /** Subtracts the peer's age from the time before the request, so that network delay cannot make a copy appear newer. */
  #applyRelayed (answer: { readonly [key: string]: Json }, readStartedAt: Millis): boolean {
    const { age, record } = answer
    if (typeof age !== 'number' || age > ROSTER_RELAY_MAX_AGE) return false
    if (record === undefined || record === null) {
      if (answer['version'] !== this.#record.version) return false
      this.#adopt(this.#record, millis(readStartedAt - age))
    } else {
      this.#adopt(decodeRoster(record), millis(readStartedAt - age))
    }
    const mustUpdateOwnEntry = !this.isMember() || this.#record.suspected.includes(this.#options.incarnation)
    return !mustUpdateOwnEntry && this.age() <= ROSTER_RELAY_MAX_AGE
  }

  #answerPeer (message: Json): Json {
    if (this.#confirmedAt === undefined || !isJsonObject(message)) return { age: null }
    const { version } = this.#record
    const isBehind = typeof message['version'] === 'number' && message['version'] < version
    const answer = { version, age: this.age() }
    return isBehind ? { ...answer, record: encodeRoster(this.#record) } : answer
  }

  /** Marks silent members as suspected and removes those that did not clear their mark in time. */
  async #checkOthers (): Promise<void> {
    const { self, peers, clock } = this.#options
    if (!this.#isRunning || !this.isMember()) return
    const others = this.#record.members.filter((member) => member.id !== self)
    const silent = this.#silence.silentIncarnations(others, peers.members())
    for (const incarnation of this.#suspectedAt.keys()) {
      if (!this.#record.suspected.includes(incarnation)) this.#suspectedAt.delete(incarnation)
    }
    const toRemove = silent.filter((incarnation) => this.#isRemovalDue(incarnation))
    const toSuspect = silent.filter((incarnation) =>
      !this.#record.suspected.includes(incarnation) && this.#silence.canSuspect(incarnation))
    if (toRemove.length > 0) await this.#remove(toRemove)
    else if (toSuspect.length > 0) await this.#suspect(toSuspect)
    for (const id of silent) {
      if (this.#record.suspected.includes(id) && !this.#suspectedAt.has(id)) this.#suspectedAt.set(id, clock.now())
    }
  }

  #isRemovalDue (incarnation: Incarnation): boolean {
    const since = this.#suspectedAt.get(incarnation)
    return since !== undefined && this.#options.clock.now() - since >= REMOVE_AFTER
  }

  async #suspect (incarnations: readonly Incarnation[]): Promise<void> {
    const isMarked = await this.#update((record) => incarnations.reduce(withSuspicion, record))
    if (!isMarked) return
    for (const suspected of incarnations) {
      this.#silence.noteSuspected(suspected)
      this.#log.emit(CONTROL_EVENTS.memberSuspected, { incarnation: suspected })
    }
  }

  /** Removes only incarnations that are still marked in the record that the update is based on. */
  async #remove (incarnations: readonly Incarnation[]): Promise<void> {
    const wall = this.#options.clock.wall()
    const isRemoved = await this.#update((record) => withoutMembers(record, ({ incarnation }) =>
      incarnations.includes(incarnation) && record.suspected.includes(incarnation), wall))
    if (!isRemoved) return
    for (const removed of incarnations) {
      this.#suspectedAt.delete(removed)
      if (!hasMember(this.#record, removed)) this.#log.emit(CONTROL_EVENTS.memberRemoved, { incarnation: removed })
    }
  }
}

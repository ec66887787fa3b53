import { failure, isJsonObject, millis, refusal, SILENT_LOG } from '@papayahill/common'
import type { Clock, EventLog, Failure, Incarnation, InstanceId, Json, Millis, OperatorName, Random, Timer } from '@papayahill/common'
import type { GossipEntry, Peers } from '@papayahill/peers'
import type { ObjectStore, TableService } from '@papayahill/stores'
import PQueue from 'p-queue'
import { Result } from 'true-myth'
import { ChangeLog } from './ChangeLog.js'
import { ConfigAcceptor } from './ConfigAcceptor.js'
import { ConfigStore } from './ConfigStore.js'
import { ConfigSync } from './ConfigSync.js'
import {
  CONFIG_PERIOD, LATCH_RECORD_WAIT, MAX_ASKED_PEERS, MIN_REPLICAS, POLL_MILLIS_PER_MEMBER, REPLICATION_TIMEOUT, START_GRACE, START_RETRY,
  START_STORE_WAIT, TAIL_CHANGES
} from './constants.js'
import { CONTROL_EVENTS } from './events.js'
import { InForceTracker, versionOf } from './InForceTracker.js'
import { LatchRegistry } from './LatchRegistry.js'
import { decodeLatch, decodeLogged, encodeLatch, encodeLogged } from './logRecords.js'
import type { Latch } from './logRecords.js'
import type { Accepted, ConfigChange, ConfigLog, ConfigView, InForce, Roster } from './types.js'

export interface ConfigManagerOptions {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly clock: Clock
  readonly random: Random
  readonly table: TableService
  readonly objects: ObjectStore
  readonly peers: Peers
  /** The instances on which a version must be in force before it counts as in force everywhere. */
  readonly roster: Pick<Roster, 'view'>
  readonly log?: EventLog
}

/** Fraction of the period by which each wait varies, so that instances do not read in lockstep. */
const JITTER = 0.2
/** Key of the gossip entry with the newest changes. */
const TAIL = 'tail'

/**
 * Maintains the operators' configuration on one instance: a log of changes in the platform's store, replicated through
 * peers and by polling its head. The version on an instance never decreases.
 *
 * @example
 * const config = new ConfigManager({ self, incarnation, clock, random, table, objects, peers, roster, log })
 * await config.start()
 * const accepted = await config.propose([{ kind: 'domain-out', domain }], author)
 * await config.whenInForce(accepted.unwrapOr(none).version, seconds(8))
 */
export class ConfigManager implements ConfigLog {
  readonly #options: ConfigManagerOptions
  readonly #events: EventLog
  readonly #listeners: Array<(view: ConfigView) => void> = []
  readonly #log = new ChangeLog()
  readonly #latches = new LatchRegistry(this.#log)
  readonly #sync: ConfigSync
  readonly #acceptor: ConfigAcceptor
  readonly #proposals = new PQueue({ concurrency: 1 })
  readonly #inForce: InForceTracker
  #timer: Timer | undefined
  #isRunning = false
  #isReady = false
  #isUnreadable = false
  /** Newest version that listeners and peers were notified of. */
  #notifiedVersion = -1
  #startedAt: Millis = millis(0)
  #writes = 0

  constructor (options: ConfigManagerOptions) {
    this.#options = options
    this.#events = options.log ?? SILENT_LOG
    const store = new ConfigStore(options.table, options.objects, this.#events)
    const newWriteId = (): string => `${options.incarnation}/${++this.#writes}`
    const base = { log: this.#log, store, peers: options.peers, events: this.#events, newWriteId }
    this.#sync = new ConfigSync({ ...base, onVersionChange: () => this.#versionChanged() })
    this.#acceptor = new ConfigAcceptor({ ...base, sync: this.#sync, latches: this.#latches, onAccepted: () => this.#versionChanged() })
    this.#inForce = new InForceTracker({ ...options, version: () => this.#isReady ? this.#log.state.version : 0 })
    options.peers.handle('config', (_from, message) => this.#answerPeer(message))
    options.peers.onEntry('config', (entry) => this.#receiveEntry(entry))
    options.peers.onEntry('latch', (entry) => this.#receiveLatch(entry))
  }

  /** Loads the configuration from the store, or from peers during an outage; retries in the background until ready. */
  async start (): Promise<void> {
    this.#isRunning = true
    this.#startedAt = this.#options.clock.now()
    for (const entry of this.#options.peers.entries('latch')) this.#receiveLatch(entry)
    await this.#tryStart()
    this.#schedule()
  }

  stop (): void {
    this.#isRunning = false
    this.#timer?.cancel()
    this.#inForce.stop()
  }

  /** Whether a configuration is in force on this instance, so that it can serve requests. */
  get isReady (): boolean {
    return this.#isReady
  }

  view (): ConfigView {
    const { version, config, author } = this.#log.state
    return { version, config, author, unrecordedOuts: this.#latches.domains() }
  }

  async propose (changes: readonly ConfigChange[], author: OperatorName, base?: number): Promise<Result<Accepted, Failure>> {
    if (!this.#isReady) return Result.err(refusal('not-ready', 'this instance has no configuration yet; try another one'))
    const areOuts = changes.every((change) => change.kind === 'domain-out')
    if (areOuts && changes.length > 0) return await this.#proposeOuts(changes, author, base)
    return await this.#enqueue(changes, author, base)
  }

  inForce (): readonly InForce[] {
    return this.#inForce.all()
  }

  /** Resolves to true once all instances of the roster report the version, or to false after `limit`. */
  whenInForce (version: number, limit: Millis): Promise<boolean> {
    return this.#inForce.whenEverywhere(version, limit)
  }

  onChange (listener: (view: ConfigView) => void): void {
    this.#listeners.push(listener)
  }

  #schedule (): void {
    if (!this.#isRunning) return
    const { clock, random, roster } = this.#options
    const period = Math.max(CONFIG_PERIOD, roster.view().members.length * POLL_MILLIS_PER_MEMBER)
    const jitter = 1 + JITTER * (random.next() * 2 - 1)
    const wait = this.#isReady ? period : START_RETRY
    this.#timer = clock.after(millis(wait * jitter), () => { void this.#tick() })
  }

  async #tick (): Promise<void> {
    if (this.#isReady) await this.#poll()
    else await this.#tryStart()
    this.#schedule()
  }

  async #tryStart (): Promise<void> {
    const { clock } = this.#options
    const isRead = this.#sync.reconcile().then((reconciled) => reconciled.isOk)
    const hasPeer = await this.#sync.askPeers()
    // If a peer has answered, there is no need to wait for a slow store.
    const fromStore = await (hasPeer ? Promise.race([isRead, clock.sleep(START_STORE_WAIT).then(() => false)]) : isRead)
    const isAlone = !hasPeer && clock.now() - this.#startedAt >= START_GRACE
    if (!hasPeer && !(fromStore && isAlone)) return
    this.#isReady = true
    this.#events.emit(CONTROL_EVENTS.configReady, { version: this.#log.state.version, fromStore })
    this.#versionChanged()
  }

  async #poll (): Promise<void> {
    const reconciled = await this.#sync.reconcile()
    if (reconciled.isErr && !this.#isUnreadable) this.#events.emit(CONTROL_EVENTS.configUnreadable, { cause: reconciled.error.kind })
    this.#isUnreadable = reconciled.isErr
    if (reconciled.isOk) await this.#recordLatches()
  }

  #enqueue (changes: readonly ConfigChange[], author: OperatorName, base?: number): Promise<Result<Accepted, Failure>> {
    return this.#proposals.add(async () => {
      const accepted = await this.#acceptor.accept(changes, author, base)
      if (accepted.isOk) await this.#replicate()
      return accepted
    })
  }

  /** Takes domains out immediately by latch and then records it, so that it does not depend on the store. */
  async #proposeOuts (changes: readonly ConfigChange[], author: OperatorName, base?: number): Promise<Result<Accepted, Failure>> {
    const { version } = this.#log.state
    if (base !== undefined && base !== version) return Result.err(this.#acceptor.conflict())
    const latches = changes.flatMap((change): readonly Latch[] => change.kind === 'domain-out'
      ? [{ id: `${this.#options.incarnation}/${++this.#writes}`, domain: change.domain, author }]
      : [])
    const unknown = latches.find((latch) => !this.#log.state.config.domains.has(latch.domain))
    if (unknown !== undefined) return Result.err(failure('invalid-change', `there is no failure domain ${unknown.domain}`, 'unknown'))
    for (const latch of latches) this.#setLatch(latch)
    await Promise.race([this.#recordLatches(), this.#options.clock.sleep(LATCH_RECORD_WAIT)])
    const isRecorded = latches.every((latch) => this.#latches.isRecorded(latch.id))
    if (!isRecorded) for (const latch of latches) this.#events.emit(CONTROL_EVENTS.latchSet, { domain: latch.domain })
    return Result.ok({ version: this.#log.state.version, isRecorded })
  }

  #setLatch (latch: Latch): void {
    if (!this.#latches.add(latch)) return
    this.#options.peers.publish('latch', latch.domain, encodeLatch(latch))
    this.#notify()
  }

  /** Records all latches that the log does not contain yet. */
  async #recordLatches (): Promise<void> {
    this.#latches.dropWithoutDomain()
    for (const latch of this.#latches.all()) {
      await this.#proposals.add(async () => {
        const accepted = await this.#acceptor.recordLatch(latch)
        if (accepted) await this.#replicate()
      })
    }
  }

  /** Publishes the newest changes and waits up to {@link REPLICATION_TIMEOUT} until enough peers have them. */
  async #replicate (): Promise<void> {
    const { peers, clock } = this.#options
    const { version } = this.#log.state
    const changes = this.#log.recentChanges.slice(-TAIL_CHANGES).map(encodeLogged)
    peers.publish('config', TAIL, { version, changes })
    await Promise.race([this.#whenReplicated(version), clock.sleep(REPLICATION_TIMEOUT)])
  }

  /** Resolves once {@link MIN_REPLICAS} connected peers confirm that they have the version, or all peers have answered. */
  async #whenReplicated (version: number): Promise<void> {
    const { peers } = this.#options
    const connected = peers.members().map((member) => member.id).filter((id) => peers.isConnected(id)).slice(0, MAX_ASKED_PEERS)
    let replicas = 0
    await new Promise<void>((resolve) => {
      const asked = connected.map(async (id) => {
        const answer = await peers.ask(id, 'config', { kind: 'version' }, REPLICATION_TIMEOUT)
        if (answer.isOk && versionOf(answer.value) >= version) replicas++
        if (replicas >= MIN_REPLICAS) resolve()
      })
      void Promise.all(asked).then(() => resolve())
    })
  }

  #answerPeer (message: Json): Json {
    if (!isJsonObject(message)) return null
    if (message['kind'] === 'version') return { version: this.#log.state.version }
    const { writeId } = message
    const answer = this.#sync.answer(versionOf(message), typeof writeId === 'string' ? writeId : '')
    return { ...answer, latches: this.#latches.all().map(encodeLatch) }
  }

  #receiveEntry (entry: GossipEntry): void {
    if (entry.owner === this.#options.self || versionOf(entry.value) <= this.#log.state.version) return
    if (entry.key === TAIL && isJsonObject(entry.value) && this.#isReady) {
      const { changes } = entry.value
      const logged = Array.isArray(changes) ? changes.map((change: Json) => decodeLogged(change)) : []
      this.#sync.applyRemote(logged.filter((change) => change !== undefined))
    }
    if (this.#isRunning && this.#isReady && versionOf(entry.value) > this.#log.state.version) void this.#sync.askPeer(entry.owner)
  }

  #receiveLatch (entry: GossipEntry): void {
    const latch = decodeLatch(entry.value)
    if (latch !== undefined && this.#latches.add(latch)) this.#notify()
  }

  /** Called after the version of the log has increased. */
  #versionChanged (): void {
    const { version } = this.#log.state
    for (const latch of this.#latches.dropRecorded()) this.#events.emit(CONTROL_EVENTS.latchRecorded, { domain: latch.domain, version })
    if (!this.#isReady || this.#notifiedVersion === version) return
    this.#notifiedVersion = version
    this.#events.emit(CONTROL_EVENTS.configInForce, { version })
    this.#notify()
    this.#inForce.publishVersion()
  }

  #notify (): void {
    const view = this.view()
    for (const listener of this.#listeners) listener(view)
  }
}

import { brand, EventRecorder, millis, SeededRandom, VirtualClock } from '@papayahill/common'
import type { DomainId, Incarnation, InstanceId, Json, Millis } from '@papayahill/common'
import { MemoryNetwork, PeerCore } from '@papayahill/peers'
import type { PeerIdentity, PeerList } from '@papayahill/peers'
import { Result } from 'true-myth'
import { TableRelay } from '../TableRelay.js'
import { TableWatch } from '../TableWatch.js'
import type { WatchedTable } from '../TableWatch.js'
import type { RowRetention, TableError, TableRow, TableRows } from '../types.js'

/** How the store answers one instance. */
export type StoreAccess = 'serves' | 'refuses' | 'silent'

type TableAnswer = Result<TableRows<Json>, TableError>

export interface TableHarnessOptions {
  /** Whether the store names its era in answers; without it, instances know revisions alone. */
  readonly namesEra?: boolean
  /** How long instances keep in force what a restored store has lost. */
  readonly retention?: RowRetention
}

const CALL_TIME = millis(5)
const CALL_TIMEOUT = millis(700)
const NO_WAIT = millis(0)
const DOMAINS = 6
const TABLE = 'endpoints'
const FIRST_PORT = 20_000

/** All rows and changes of the table at one moment. */
export interface StoreCopy {
  readonly rows: ReadonlyMap<string, TableRow<Json>>
  readonly changes: ReadonlyArray<TableRow<Json>>
  readonly revision: number
}

/** An in-memory table of the store whose history can be dropped, and which can be restored from an older copy. */
class StoreTable {
  readonly #clock: VirtualClock
  #rows = new Map<string, TableRow<Json>>()
  #changes: Array<TableRow<Json>> = []
  #oldest = 0
  readonly #namesEra: boolean
  era = 1
  revision = 0
  calls = 0

  constructor (clock: VirtualClock, namesEra: boolean) {
    this.#clock = clock
    this.#namesEra = namesEra
  }

  put (key: string, value: Json | undefined): void {
    const row = { key, value, revision: ++this.revision }
    if (value === undefined) this.#rows.delete(key)
    else this.#rows.set(key, row)
    this.#changes.push(row)
  }

  get (key: string): Json | undefined {
    return this.#rows.get(key)?.value
  }

  forgetHistory (): void {
    this.#changes = []
    this.#oldest = this.revision
  }

  copy (): StoreCopy {
    return { rows: new Map(this.#rows), changes: [...this.#changes], revision: this.revision }
  }

  /** Comes back from an older copy: what was written since is gone, and its revisions are given out again. */
  restore ({ rows, changes, revision }: StoreCopy): void {
    this.#rows = new Map(rows)
    this.#changes = [...changes]
    this.revision = revision
    if (this.#namesEra) this.era++
  }

  viewFor (accessOf: () => StoreAccess): WatchedTable {
    const guarded = async (wait: Millis, answer: () => Promise<TableAnswer>): Promise<TableAnswer> => {
      const timeoutAt = this.#clock.now() + wait + CALL_TIMEOUT
      this.calls++
      await this.#clock.sleep(CALL_TIME)
      if (accessOf() === 'refuses') return unavailable('refused')
      if (accessOf() === 'serves') {
        const answered = await answer()
        if (accessOf() !== 'silent') return answered
      }
      await this.#clock.sleep(millis(Math.max(0, timeoutAt - this.#clock.now())))
      return unavailable('no answer')
    }
    return {
      name: TABLE,
      read: () => guarded(NO_WAIT, () => Promise.resolve(this.#answer([...this.#rows.values()]))),
      changes: (after, wait) => guarded(wait, () => this.#feed(after, wait))
    }
  }

  #answer (rows: ReadonlyArray<TableRow<Json>>): TableAnswer {
    return Result.ok({ era: this.era, rows, revision: this.revision, storeTime: this.#clock.now() })
  }

  async #feed (after: number, wait: Millis): Promise<TableAnswer> {
    if (after < this.#oldest) return Result.err({ kind: 'history-gone', detail: 'forgotten' })
    const until = this.#clock.now() + wait
    for (;;) {
      if (after > this.revision) return Result.err({ kind: 'history-gone', detail: 'restored from an older copy' })
      const rows = this.#changes.filter((row) => row.revision > after)
      if (rows.length > 0 || this.#clock.now() >= until) return this.#answer(rows)
      await this.#clock.sleep(CALL_TIME)
    }
  }
}

const unavailable = (detail: string): TableAnswer => Result.err({ kind: 'unavailable', detail })

/** One instance: its links, its watch, and the rows it knows. */
export class TableInstance {
  readonly id: InstanceId
  readonly identity: PeerIdentity
  readonly peers: PeerCore
  readonly watch: TableWatch<Json>
  readonly known = new Map<string, Json>()
  readonly revisions: number[] = []
  /** Outages that came with changes. */
  readonly outages: Millis[] = []
  readonly log: EventRecorder
  access: StoreAccess = 'serves'

  constructor (
    clock: VirtualClock, network: MemoryNetwork, store: StoreTable, at: number, list: PeerList, retention: RowRetention | undefined
  ) {
    const domain = brand<DomainId>(`hall-${at % DOMAINS}`)
    this.id = brand<InstanceId>(`i${at}`)
    this.log = new EventRecorder(clock)
    const incarnation = brand<Incarnation>(`i${at}@${String(clock.now()).padStart(12, '0')}`)
    this.identity = { id: this.id, incarnation, domain, address: { ip: '10.0.0.1', port: FIRST_PORT + at } }
    const random = new SeededRandom(at + 1)
    this.peers = new PeerCore({
      self: this.id, incarnation, domain, clock, random, transport: network.transport(this.identity), list
    })
    const relay = new TableRelay({ clock, log: this.log, domain, peers: this.peers })
    this.watch = new TableWatch({
      clock,
      random,
      log: this.log,
      relay,
      table: store.viewFor(() => this.access),
      decode: (_key, value) => value,
      listener: this,
      ...(retention === undefined ? {} : { retention })
    })
  }

  /** Bytes that it has sent to others about tables. */
  get sentBytes (): number {
    return this.peers.traffic().find(({ topic }) => topic === 'table')?.sentBytes ?? 0
  }

  /** Rows whose values are numbers tell their order by them. */
  compare (left: Json, right: Json): number {
    return typeof left === 'number' && typeof right === 'number' ? left - right : 0
  }

  replaced (rows: ReadonlyArray<TableRow<Json>>, outage: Millis): void {
    this.known.clear()
    this.changed(rows, outage)
  }

  changed (rows: ReadonlyArray<TableRow<Json>>, outage: Millis): void {
    if (outage > 0) this.outages.push(outage)
    for (const { key, value, revision } of rows) {
      this.revisions.push(revision)
      if (value === undefined) this.known.delete(key)
      else this.known.set(key, value)
    }
  }
}

/**
 * Instances that share one table, over links in memory and in virtual time.
 *
 * @example
 * const harness = new TableHarness(60)
 * await harness.start(seconds(12))
 * const took = await harness.change('a', 1, seconds(2))
 */
export class TableHarness {
  readonly clock = new VirtualClock()
  readonly network = new MemoryNetwork(this.clock)
  readonly store: StoreTable
  readonly instances: TableInstance[] = []
  readonly #count: number
  readonly #retention: RowRetention | undefined

  constructor (instances: number, { namesEra = true, retention }: TableHarnessOptions = {}) {
    this.store = new StoreTable(this.clock, namesEra)
    this.#count = instances
    this.#retention = retention
  }

  /** Starts all instances within about 300 ms, then waits `settle` for their links to be established. */
  async start (settle: Millis): Promise<void> {
    for (let at = 0; at < this.#count; at++) {
      this.add(at)
      await this.clock.advance(millis(300 / this.#count))
    }
    await this.clock.advance(settle)
  }

  add (at: number): TableInstance {
    const list: PeerList = {
      list: () => Promise.resolve(Result.ok({ instances: this.instances.map(({ identity: { id, address } }) => ({ id, address })) }))
    }
    const instance = new TableInstance(this.clock, this.network, this.store, at, list, this.#retention)
    this.instances[at] = instance
    void instance.peers.start()
    instance.watch.start()
    return instance
  }

  /** Stops an instance abruptly, as if its process were killed. */
  kill (instance: TableInstance): void {
    instance.watch.stop()
    this.network.kill(instance.identity)
  }

  get watchers (): readonly TableInstance[] {
    return this.instances.filter(({ log }) => log.records.findLast(({ kind }) => kind.name === 'tableRole')?.fields.watches === true)
  }

  /** Changes a row; returns the time until all given instances know it, or undefined if one does not within the limit. */
  async change (key: string, value: Json | undefined, limit: Millis, among = this.instances): Promise<Millis | undefined> {
    const begunAt = this.clock.now()
    this.store.put(key, value)
    const isKnown = await this.clock.advanceUntil(() => among.every(({ known }) => known.get(key) === value), limit)
    return isKnown ? millis(this.clock.now() - begunAt) : undefined
  }
}

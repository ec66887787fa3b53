import type { Clock, DomainId, EventLog, InstanceId, Json, Timer } from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import { FETCH_TIMEOUT, MAX_PUSHED_CHARACTERS, RELAY_DELAY } from './constants.js'
import { DIRECTORY_EVENTS } from './events.js'
import { packTableMessage, unpackTableMessage } from './tableMessages.js'
import type { RelayedChanges, TableStatus } from './tableMessages.js'
import { pollOrderOf } from './pollOrderOf.js'
import type { PollPlace } from './pollTimes.js'
import type { StorePosition } from './types.js'

/** One table as seen by the relay. */
export interface RelayedTable {
  readonly name: string
  /** How current the copy is; undefined before the first read. */
  status (): TableStatus | undefined
  /** Changes after a position, or the whole table. */
  since (after: StorePosition | undefined): RelayedChanges | undefined
  receiveStatus (status: TableStatus, from: InstanceId): void
  receiveChanges (relayed: RelayedChanges, from: InstanceId): void
}

export interface TableRelayOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly domain: DomainId
  readonly peers: Pick<Peers, 'self' | 'members' | 'neighbours' | 'send' | 'ask' | 'handle'>
}

/**
 * Relays changes of watched tables from neighbour to neighbour, so that only a few instances poll the store.
 * Every status carries its age, so that each instance knows how old its copy is.
 *
 * @example
 * const relay = new TableRelay({ clock, log, domain, peers })
 * new TableWatch({ clock, random, log, table, decode, listener, relay }).start()
 */
export class TableRelay {
  readonly #options: TableRelayOptions
  readonly #tables = new Map<string, RelayedTable>()
  /** Tables whose status is to be sent, and the neighbour that already has it. */
  readonly #dirty = new Map<string, InstanceId | undefined>()
  #timer: Timer | undefined

  constructor (options: TableRelayOptions) {
    this.#options = options
    options.peers.handle('table', (from, body) => this.#receive(from, body))
  }

  add (table: RelayedTable): void {
    this.#tables.set(table.name, table)
  }

  /** Whether there are no neighbours to relay to. */
  get isAlone (): boolean {
    return this.#options.peers.neighbours().length === 0
  }

  /** Place of this instance in the order in which the known instances poll the table. */
  placeIn (table: string): PollPlace {
    const { peers: { self }, domain } = this.#options
    const order = pollOrderOf(table, [...this.#options.peers.members(), { id: self, domain }])
    return { rank: order.findIndex(({ id }) => id === self), instances: order.length }
  }

  /** Sends a table's status after {@link RELAY_DELAY} to all neighbours but `from`, which already has it. */
  announce (table: string, from?: InstanceId): void {
    this.#dirty.set(table, from)
    this.#timer ??= this.#options.clock.after(RELAY_DELAY, () => this.#flush())
  }

  /** Sends changed rows to all neighbours but their sender; if they are large, only the status, and neighbours fetch them. */
  push (relayed: RelayedChanges, from?: InstanceId): void {
    const body = packTableMessage({ kind: 'changes', relayed })
    if (JSON.stringify(body).length > MAX_PUSHED_CHARACTERS) return this.announce(relayed.table, from)
    this.#sendAll(body, from)
  }

  /** A neighbour's changes after a position; undefined if it does not answer in time. */
  async fetch (table: string, from: InstanceId, after: StorePosition | undefined): Promise<RelayedChanges | undefined> {
    const { peers } = this.#options
    const answer = await peers.ask(from, 'table', packTableMessage({ kind: 'fetch', table, after }), FETCH_TIMEOUT)
    const message = answer.isOk ? unpackTableMessage(answer.value) : undefined
    return message?.kind === 'changes' ? message.relayed : undefined
  }

  #receive (from: InstanceId, body: Json): Json {
    const message = unpackTableMessage(body)
    if (message === undefined) this.#options.log.emit(DIRECTORY_EVENTS.tableMessageMalformed, { from })
    if (message?.kind === 'status') for (const status of message.statuses) this.#tables.get(status.table)?.receiveStatus(status, from)
    if (message?.kind === 'changes') this.#tables.get(message.relayed.table)?.receiveChanges(message.relayed, from)
    if (message?.kind !== 'fetch') return null
    const relayed = this.#tables.get(message.table)?.since(message.after)
    return relayed === undefined ? null : packTableMessage({ kind: 'changes', relayed })
  }

  #flush (): void {
    this.#timer = undefined
    const statuses = [...this.#dirty.keys()].map((name) => this.#tables.get(name)?.status()).filter((status) => status !== undefined)
    const [knownBy] = this.#dirty.size === 1 ? [...this.#dirty.values()] : []
    this.#dirty.clear()
    if (statuses.length > 0) this.#sendAll(packTableMessage({ kind: 'status', statuses }), knownBy)
  }

  #sendAll (body: Json, except: InstanceId | undefined): void {
    const { peers } = this.#options
    for (const id of peers.neighbours()) if (id !== except) peers.send(id, 'table', body)
  }
}

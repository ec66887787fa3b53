import type { DomainId, EventLog, ServiceId } from '@papayahill/common'
import { DIRECTORY_EVENTS } from './events.js'
import { RouteTable } from './RouteTable.js'
import type { TableListener } from './WatchedRows.js'
import type { ServingConfig, TableRow, VersionOrder } from './types.js'

/** One row of the table that operators write to. */
export type OperatorRow =
  | { readonly kind: 'config', readonly config: ServingConfig }
  | { readonly kind: 'domain-out', readonly domain: DomainId }
  | { readonly kind: 'move', readonly order: VersionOrder }
  | { readonly kind: 'malformed', readonly detail: string }
  | { readonly kind: 'other' }

/**
 * The configuration, domain outages and moves in force on this instance. A version is never replaced by an older one.
 *
 * @example
 * const config = new ActiveConfig(log)
 * config.routes?.find('shop.example', '/orders/')
 */
export class ActiveConfig implements TableListener<OperatorRow> {
  readonly #log: EventLog
  readonly #domainsOut = new Map<string, DomainId>()
  readonly #moves = new Map<string, VersionOrder>()
  readonly #configListeners: Array<(config: ServingConfig) => void> = []
  readonly #moveListeners: Array<(order: VersionOrder | undefined, service: ServiceId) => void> = []
  #routes: RouteTable | undefined

  constructor (log: EventLog) {
    this.#log = log
  }

  /** Routes of the version in force; undefined until the first version is received. */
  get routes (): RouteTable | undefined {
    return this.#routes
  }

  get version (): number {
    return this.#routes?.config.version ?? 0
  }

  onConfig (listener: (config: ServingConfig) => void): void {
    this.#configListeners.push(listener)
  }

  /** Calls the listener for each new order, and with undefined when one is withdrawn. */
  onMove (listener: (order: VersionOrder | undefined, service: ServiceId) => void): void {
    this.#moveListeners.push(listener)
  }

  isDomainOut (domain: DomainId): boolean {
    for (const out of this.#domainsOut.values()) if (out === domain) return true
    return false
  }

  replaced (rows: ReadonlyArray<TableRow<OperatorRow>>): void {
    const listed = new Set(rows.map((row) => row.key))
    const gone = [...this.#domainsOut.keys(), ...this.#moves.keys()].filter((key) => !listed.has(key))
    this.changed([...rows, ...gone.map((key) => ({ key, value: undefined, revision: 0 }))])
  }

  changed (rows: ReadonlyArray<TableRow<OperatorRow>>): void {
    for (const { key, value } of rows) {
      if (value === undefined) this.#remove(key)
      else this.#applyRow(key, value)
    }
  }

  /** Configurations tell their order by their versions; other rows do not tell. */
  compare (left: OperatorRow, right: OperatorRow): number {
    return left.kind === 'config' && right.kind === 'config' ? left.config.version - right.config.version : 0
  }

  /** Puts a configuration in force unless it is older than the current one. */
  adopt (config: ServingConfig): void {
    if (config.version < this.version) {
      this.#log.emit(DIRECTORY_EVENTS.configStale, { version: config.version, inForce: this.version })
      return
    }
    if (config.version === this.version) return
    this.#routes = new RouteTable(config)
    this.#log.emit(DIRECTORY_EVENTS.configInForce, { version: config.version, routes: config.routes.length })
    for (const listener of this.#configListeners) listener(config)
  }

  #applyRow (key: string, row: OperatorRow): void {
    if (row.kind === 'config') this.adopt(row.config)
    if (row.kind === 'malformed') this.#log.emit(DIRECTORY_EVENTS.configMalformed, { row: key, detail: row.detail })
    if (row.kind === 'domain-out' && !this.#domainsOut.has(key)) {
      this.#domainsOut.set(key, row.domain)
      this.#log.emit(DIRECTORY_EVENTS.domainOut, { domain: row.domain })
    }
    if (row.kind === 'move') {
      this.#moves.set(key, row.order)
      for (const listener of this.#moveListeners) listener(row.order, row.order.service)
    }
  }

  #remove (key: string): void {
    const domain = this.#domainsOut.get(key)
    if (domain !== undefined && this.#domainsOut.delete(key)) this.#log.emit(DIRECTORY_EVENTS.domainBack, { domain })
    const move = this.#moves.get(key)
    if (move === undefined) return
    this.#moves.delete(key)
    for (const listener of this.#moveListeners) listener(undefined, move.service)
  }
}

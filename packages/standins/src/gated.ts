import type { IdempotencyKey, InstanceGate, Json } from '@papayahill/common'
import type {
  CacheEvent, CallError, EndpointAccess, EndpointConnection, KeyStatus, LoadReport, StageAnswer, StageCall, StageChunk
} from '@papayahill/endpoints'
import type {
  Commit, InstanceList, InstanceListing, ListedEndpoint, ObjectStore, Row, RowKey, StoreError, TableService, Transaction
} from '@papayahill/stores'
import type { ServiceKind } from '@papayahill/settings'
import { Result } from 'true-myth'

/** One instance's access to the table service. */
export class GatedTable implements TableService {
  readonly #table: TableService
  readonly #gate: InstanceGate

  constructor (table: TableService, gate: InstanceGate) {
    this.#table = table
    this.#gate = gate
  }

  read (keys: readonly RowKey[]): Promise<Result<readonly Row[], StoreError>> {
    return this.#gate.pass(this.#table.read(keys))
  }

  scan (prefix: string, after: RowKey | undefined, limit: number): Promise<Result<readonly Row[], StoreError>> {
    return this.#gate.pass(this.#table.scan(prefix, after, limit))
  }

  commit (transaction: Transaction): Promise<Result<Commit, StoreError>> {
    return this.#gate.pass(this.#table.commit(transaction))
  }
}

/** One instance's access to the object store. */
export class GatedObjectStore implements ObjectStore {
  readonly #objects: ObjectStore
  readonly #gate: InstanceGate

  constructor (objects: ObjectStore, gate: InstanceGate) {
    this.#objects = objects
    this.#gate = gate
  }

  get (name: string): Promise<Result<Json | undefined, StoreError>> {
    return this.#gate.pass(this.#objects.get(name))
  }

  put (name: string, value: Json): Promise<Result<void, StoreError>> {
    return this.#gate.pass(this.#objects.put(name, value))
  }
}

/** One instance's access to the instance list. */
export class GatedInstanceList implements InstanceList {
  readonly #list: InstanceList
  readonly #gate: InstanceGate

  constructor (list: InstanceList, gate: InstanceGate) {
    this.#list = list
    this.#gate = gate
  }

  list (): Promise<Result<InstanceListing, StoreError>> {
    return this.#gate.pass(this.#list.list())
  }
}

class GatedConnection implements EndpointConnection {
  readonly #connection: EndpointConnection
  readonly #gate: InstanceGate

  constructor (connection: EndpointConnection, gate: InstanceGate) {
    this.#connection = connection
    this.#gate = gate
  }

  get incarnation (): EndpointConnection['incarnation'] {
    return this.#connection.incarnation
  }

  get isOpen (): boolean {
    return this.#connection.isOpen
  }

  call (
    call: StageCall, onChunk: (chunk: StageChunk) => void, signal: AbortSignal
  ): Promise<Result<StageAnswer, CallError>> {
    const passChunk = (chunk: StageChunk): void => this.#gate.run(() => onChunk(chunk))
    return this.#gate.pass(this.#connection.call(call, passChunk, signal))
  }

  onClose (listener: () => void): void {
    this.#connection.onClose(() => this.#gate.run(listener))
  }

  close (): void {
    this.#connection.close()
  }
}

/** One instance's access to the endpoints. */
export class GatedEndpointAccess implements EndpointAccess {
  readonly #access: EndpointAccess
  readonly #gate: InstanceGate

  constructor (access: EndpointAccess, gate: InstanceGate) {
    this.#access = access
    this.#gate = gate
  }

  async open (endpoint: ListedEndpoint, kind: ServiceKind): Promise<Result<EndpointConnection, CallError>> {
    const opened = await this.#gate.pass(this.#access.open(endpoint, kind))
    return opened.map((connection) => new GatedConnection(connection, this.#gate))
  }

  report (endpoint: ListedEndpoint): Promise<Result<LoadReport, CallError>> {
    return this.#gate.pass(this.#access.report(endpoint))
  }

  onReport (listener: (report: LoadReport) => void): void {
    this.#access.onReport((report) => this.#gate.run(() => listener(report)))
  }

  onCacheEvent (listener: (event: CacheEvent) => void): void {
    this.#access.onCacheEvent((event) => this.#gate.run(() => listener(event)))
  }

  lookUp (endpoint: ListedEndpoint, key: IdempotencyKey): Promise<Result<KeyStatus, CallError>> {
    return this.#gate.pass(this.#access.lookUp(endpoint, key))
  }
}

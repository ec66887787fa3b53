import { brand, millis } from '@papayahill/common'
import type { Clock, DomainId, EndpointId, Random } from '@papayahill/common'
import type { Trace } from '@papayahill/invariants'
import type { ListedEndpoint, ListedInstance } from '@papayahill/stores'
import type { OperatorConfig, ServiceKind, ServiceSettings } from '@papayahill/settings'
import { FakeEndpoint } from '../FakeEndpoint.js'
import { FakeInstanceList } from '../FakeInstanceList.js'
import { FakeObjectStore } from '../FakeObjectStore.js'
import { FakeTable } from '../FakeTable.js'
import { WORK_MODELS } from '../workModel.js'
import type { WorkModel } from '../workModel.js'
import type { HttpStandIn } from './HttpStandIn.js'
import { serveEndpoint } from './serveEndpoint.js'
import type { EndpointServer } from './serveEndpoint.js'
import { serveInstanceList } from './serveInstanceList.js'
import { serveObjects } from './serveObjects.js'
import { serveTable } from './serveTable.js'

const LOOPBACK = '127.0.0.1'
/** Offset of the endpoints' ports from the first port. */
const ENDPOINT_PORT_OFFSET = 100
const LIST_LAG = millis(500)

const DEFAULT_REPLICAS: Readonly<Record<ServiceKind, number>> = {
  engine: 6, encoder: 4, retriever: 4, reranker: 4, plain: 4
}

export interface ServeDeploymentOptions {
  readonly config: OperatorConfig
  readonly clock: Clock
  readonly random: Random
  readonly trace: Trace
  /** Entry instances in the instance list. */
  readonly instances: readonly ListedInstance[]
  /** Port of the table; objects and instance list use the next two. 0 picks free ports. */
  readonly firstPort?: number
  readonly replicas?: Partial<Readonly<Record<ServiceKind, number>>>
  readonly models?: Partial<Readonly<Record<ServiceKind, WorkModel>>>
  /** Whether endpoints start warm. */
  readonly isWarm?: boolean
}

export interface ServedEndpoint {
  readonly fake: FakeEndpoint
  readonly listed: ListedEndpoint
  readonly server: EndpointServer
}

/** All stand-ins of one deployment over HTTP on loopback. */
export interface ServedDeployment {
  readonly table: FakeTable
  readonly objects: FakeObjectStore
  readonly list: FakeInstanceList
  readonly endpoints: readonly ServedEndpoint[]
  readonly origins: { readonly table: string, readonly objects: string, readonly instanceList: string }
  /** Starts one more endpoint, such as one of a new version. */
  addEndpoint (service: ServiceSettings, version: string, domain: DomainId): Promise<ServedEndpoint>
  close (): Promise<void>
}

class EndpointStarter {
  readonly started: ServedEndpoint[] = []
  readonly #options: ServeDeploymentOptions
  readonly #list: FakeInstanceList

  constructor (options: ServeDeploymentOptions, list: FakeInstanceList) {
    this.#options = options
    this.#list = list
  }

  async start (service: ServiceSettings, version: string, domain: DomainId): Promise<ServedEndpoint> {
    const { clock, random, trace, firstPort, isWarm, models } = this.#options
    const { kind } = service
    const id = brand<EndpointId>(`${service.id}-${this.started.length + 1}`)
    const port = firstPort === undefined || firstPort === 0 ? 0 : firstPort + ENDPOINT_PORT_OFFSET + this.started.length
    const requested: ListedEndpoint = {
      id, service: service.id, version: brand(version), domain, address: { ip: LOOPBACK, port }, state: 'live'
    }
    const model = models?.[kind] ?? WORK_MODELS[kind]
    const fake = new FakeEndpoint({ clock, random: random.fork(), trace, listed: requested, kind, model })
    if (isWarm === true) fake.warmUp()
    const server = await serveEndpoint({ endpoint: fake, clock, port, checksFencing: service.checksFencing })
    const listed = { ...requested, address: { ip: LOOPBACK, port: server.server.port } }
    this.#list.setEndpoint(listed)
    const served = { fake, listed, server }
    this.started.push(served)
    return served
  }

  async startAll (): Promise<void> {
    const domains = [...this.#options.config.domains.keys()]
    for (const service of this.#options.config.services.values()) {
      const count = this.#options.replicas?.[service.kind] ?? DEFAULT_REPLICAS[service.kind]
      for (let at = 0; at < count; at++) await this.start(service, service.version, domains[at % domains.length]!)
    }
  }
}

/**
 * Serves table, object store, instance list and each service's endpoints, spread over the failure domains.
 *
 * @example
 * const standIns = await serveDeployment({ config, clock, random, trace, instances, firstPort: 9000 })
 */
export const serveDeployment = async (options: ServeDeploymentOptions): Promise<ServedDeployment> => {
  const { clock, random, firstPort = 0 } = options
  const portAt = (offset: number): number => firstPort === 0 ? 0 : firstPort + offset
  const table = new FakeTable(clock, random.fork())
  const objects = new FakeObjectStore(clock)
  const list = new FakeInstanceList(clock)
  list.lag = LIST_LAG
  for (const instance of options.instances) list.setInstance(instance)
  const [tableServer, objectServer, listServer]: readonly HttpStandIn[] = await Promise.all([
    serveTable(table, portAt(0)), serveObjects(objects, portAt(1)), serveInstanceList(list, portAt(2))
  ])
  const starter = new EndpointStarter(options, list)
  await starter.startAll()
  return {
    table,
    objects,
    list,
    endpoints: starter.started,
    origins: { table: tableServer!.origin, objects: objectServer!.origin, instanceList: listServer!.origin },
    addEndpoint: (service, version, domain) => starter.start(service, version, domain),
    close: async () => {
      const servers = [tableServer!, objectServer!, listServer!, ...starter.started.map((each) => each.server)]
      await Promise.all(servers.map((server) => server.close()))
    }
  }
}

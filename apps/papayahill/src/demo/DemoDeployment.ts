import { randomBytes } from 'node:crypto'
import { brand, millis, seconds, SILENT_LOG } from '@papayahill/common'
import type { Clock, DomainId, InstanceId, Random, RegionId } from '@papayahill/common'
import { Trace } from '@papayahill/invariants'
import { Daemon } from '@papayahill/papayahilld'
import type { InstanceLimits, InstanceSettings, OperatorConfig } from '@papayahill/settings'
import { serveDeployment } from '@papayahill/standins'
import type { ServedDeployment } from '@papayahill/standins'
import { freePort } from '@papayahill/testbed'

const LOOPBACK = '127.0.0.1'
const OPERATOR = 'demo'
const SECRET_BYTES = 24
const INSTANCES = 3

const LIMITS: InstanceLimits = {
  bodyBytes: 2_097_152, headerBytes: 16_384, connections: 2048, slowCallerBytes: 262_144, slowCallerPatience: seconds(10)
}

const newSecret = (): string => randomBytes(SECRET_BYTES).toString('hex')

/** Three instances on loopback against stand-ins, all in this process. */
export class DemoDeployment {
  readonly trace = new Trace()
  readonly operatorToken = newSecret()
  readonly #clock: Clock
  readonly #random: Random
  readonly #config: OperatorConfig
  readonly #daemons: Daemon[] = []
  #settings: readonly InstanceSettings[] = []
  #standIns: ServedDeployment | undefined

  constructor (config: OperatorConfig, clock: Clock, random: Random) {
    this.#config = config
    this.#clock = clock
    this.#random = random
  }

  get standIns (): ServedDeployment {
    if (this.#standIns === undefined) throw new Error('the demo has not started')
    return this.#standIns
  }

  /** Origins of each instance's listeners for callers and operators. */
  get instances (): ReadonlyArray<{ readonly id: InstanceId, readonly callers: string, readonly operators: string }> {
    return this.#daemons.map((daemon, at) => ({
      id: this.#settings[at]!.id,
      callers: `http://${LOOPBACK}:${daemon.callersPort}`,
      operators: `http://${LOOPBACK}:${daemon.operatorsPort}`
    }))
  }

  async start (): Promise<void> {
    const ports = await Promise.all(Array.from({ length: INSTANCES }, freePort))
    const domains = [...this.#config.domains.values()]
    const placements = ports.map((port, at) => ({ id: brand<InstanceId>(`ph-${at + 1}`), port, domain: domains[at % domains.length]! }))
    this.#standIns = await serveDeployment({
      config: this.#config,
      clock: this.#clock,
      random: this.#random.fork(),
      trace: this.trace,
      instances: placements.map(({ id, port, domain }) => ({
        id, domain: domain.id, address: { ip: LOOPBACK, port }, state: 'live'
      })),
      isWarm: true
    })
    const peers = newSecret()
    this.#settings = placements.map(({ id, port, domain }) => this.#settingsOf(id, domain.id, domain.region, port, peers))
    for (const settings of this.#settings) this.#daemons.push(new Daemon(settings, this.#clock, SILENT_LOG))
    await Promise.all(this.#daemons.map((daemon) => daemon.start()))
  }

  /** Stops every instance with a planned stop, then the stand-ins. */
  async stop (): Promise<void> {
    await Promise.all(this.#daemons.map((daemon) => daemon.drain()))
    await this.#clock.sleep(millis(1))
    await this.standIns.close()
  }

  #settingsOf (id: InstanceId, domain: DomainId, region: RegionId, peersPort: number, peersSecret: string): InstanceSettings {
    const { origins } = this.standIns
    return {
      id,
      domain,
      region,
      callers: { ip: LOOPBACK, port: 0 },
      operators: { ip: LOOPBACK, port: 0 },
      peers: { ip: LOOPBACK, port: peersPort },
      table: origins.table,
      objects: origins.objects,
      instanceList: origins.instanceList,
      limits: LIMITS,
      secrets: { peers: peersSecret, operators: new Map([[OPERATOR, this.operatorToken]]), workspaces: new Map() }
    }
  }
}

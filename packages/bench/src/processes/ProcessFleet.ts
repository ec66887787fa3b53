import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { randomBytes } from 'node:crypto'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import type { Readable } from 'node:stream'
import { fileURLToPath } from 'node:url'
import { brand, isJsonObject, jsonObjectsOf, millis, SeededRandom, seconds, SystemClock } from '@papayahill/common'
import type { DomainSettings, OperatorConfig } from '@papayahill/settings'
import type { InstanceId, Json } from '@papayahill/common'
import { Trace } from '@papayahill/invariants'
import { encodeConfig } from '@papayahill/settings'
import { serveDeployment } from '@papayahill/standins'
import type { ServedDeployment } from '@papayahill/standins'
import type { CallerTarget } from '@papayahill/testbed'
import { request } from 'undici'

const BINARY = fileURLToPath(new URL('../../../../apps/papayahilld/bin/papayahilld.js', import.meta.url))
const LOOPBACK = '127.0.0.1'
/** Port on which nothing listens, in place of one that is not known yet. */
const CLOSED_PORT = 1
const POLL_PERIOD = millis(100)
const WAIT_TIMEOUT = seconds(40)
const SECRET_BYTES = 20

/** Ports that a process has bound, in the order in which it opens its listeners. */
interface Ports {
  readonly peers: number
  readonly callers: number
  readonly operators: number
}

interface Member {
  readonly id: InstanceId
  readonly domain: DomainSettings
  /** Undefined until the process has opened its listeners. */
  ports: Ports | undefined
  process: ChildProcess | undefined
  exit: Promise<number | null>
}

/** Name of the events that tell the port of an open listener. */
const LISTENING = 'listening'

/** The ports in a process's log, whichever listener opens first; undefined until all are open. */
const portsIn = (lines: readonly string[]): Ports | undefined => {
  const ports = new Map<unknown, number>()
  for (const line of lines) {
    const event = JSON.parse(line) as Json
    // The event of the listener for peers names none.
    if (isJsonObject(event) && event['name'] === LISTENING) ports.set(event['listener'] ?? 'peers', Number(event['port']))
  }
  const [peers, callers, operators] = ['peers', 'callers', 'operators'].map((name) => ports.get(name))
  return peers === undefined || callers === undefined || operators === undefined ? undefined : { peers, callers, operators }
}

/**
 * Instances as separate processes in front of stand-ins in the current process, so that tests can read the
 * stand-ins' records.
 *
 * @example
 * const fleet = await ProcessFleet.start(config, 3)
 * fleet.signal(fleet.ids[0], 'SIGKILL')
 */
export class ProcessFleet {
  readonly clock = new SystemClock()
  readonly trace: Trace
  readonly standIns: ServedDeployment
  readonly #settingsDir = mkdtempSync(join(tmpdir(), 'papayahill-'))
  readonly #secrets = { PEERS: randomBytes(SECRET_BYTES).toString('hex'), OPERATOR: randomBytes(SECRET_BYTES).toString('hex') }
  readonly #members: Member[] = []

  private constructor (trace: Trace, standIns: ServedDeployment, domains: readonly DomainSettings[]) {
    this.trace = trace
    this.standIns = standIns
    for (const [at, domain] of domains.entries()) {
      this.#members.push({ id: brand<InstanceId>(`ph-${at + 1}`), domain, ports: undefined, process: undefined, exit: Promise.resolve(null) })
    }
  }

  /** Starts stand-ins and instances and applies the configuration. */
  static async start (config: OperatorConfig, instances: number): Promise<ProcessFleet> {
    const domains = [...config.domains.values()]
    const placements = Array.from({ length: instances }, (_none, at) => domains[at % domains.length]!)
    const trace = new Trace()
    const standIns = await serveDeployment({
      config, clock: new SystemClock(), random: new SeededRandom(1), trace, instances: [], isWarm: true
    })
    const fleet = new ProcessFleet(trace, standIns, placements)
    try {
      await fleet.#startInstances(config)
      return fleet
    } catch (err) {
      await fleet.stop()
      throw err
    }
  }

  async #startInstances (config: OperatorConfig): Promise<void> {
    for (const id of this.ids) this.spawn(id)
    await this.waitUntil(async () => (await Promise.all(this.ids.map((id) => this.isReady(id)))).every(Boolean))
    await this.callOperatorApi('POST', '/v1/config/changes', { changes: [{ kind: 'replace', config: encodeConfig(config) }], base: 0 })
    await this.waitUntil(async () => (await Promise.all(this.ids.map((id) => this.isConnected(id)))).every(Boolean))
  }

  get ids (): readonly InstanceId[] {
    return this.#members.map(({ id }) => id)
  }

  /** Where callers reach the instances; the origins follow restarts. */
  get targets (): readonly CallerTarget[] {
    return this.#members.map((member) => ({
      instance: member.id,
      get origin () { return `http://${LOOPBACK}:${member.ports?.callers ?? CLOSED_PORT}` }
    }))
  }

  /** Starts the process of an instance, or restarts it as a new incarnation. */
  spawn (id: InstanceId): void {
    const member = this.#member(id)
    const file = join(this.#settingsDir, `${id}.toml`)
    writeFileSync(file, this.#settings(member))
    const child = spawn(process.execPath, [BINARY, '--settings', file, '--log-level', 'info'], {
      env: { PATH: process.env['PATH'], PEERS: this.#secrets.PEERS, OPERATORS: `test=${this.#secrets.OPERATOR}` },
      stdio: ['ignore', 'pipe', 'inherit']
    })
    member.process = child
    member.ports = undefined
    this.#readPorts(member, child.stdout!)
    member.exit = new Promise((resolve) => { child.once('exit', (code) => resolve(code)) })
  }

  /** Reads the ports that a process binds, and adds its address to the instance list. */
  #readPorts (member: Member, stdout: Readable): void {
    const lines: string[] = []
    createInterface({ input: stdout }).on('line', (line) => {
      if (member.ports !== undefined) return
      lines.push(line)
      member.ports = portsIn(lines)
      if (member.ports === undefined) return
      const { id, domain: { id: domain }, ports: { peers } } = member
      this.standIns.list.setInstance({ id, domain, address: { ip: LOOPBACK, port: peers }, state: 'live' })
    })
  }

  signal (id: InstanceId, signal: NodeJS.Signals): void {
    if (signal === 'SIGKILL') this.trace.add({ type: 'instance-died', at: this.clock.now(), instance: id })
    if (signal === 'SIGTERM') this.trace.add({ type: 'instance-stopping', at: this.clock.now(), instance: id })
    this.#member(id).process?.kill(signal)
  }

  /** Resolves with the exit code of the instance's latest process. */
  exitCode (id: InstanceId): Promise<number | null> {
    return this.#member(id).exit
  }

  async isReady (id: InstanceId): Promise<boolean> {
    try {
      const { statusCode, body } = await request(`http://${LOOPBACK}:${this.#portsOf(id).callers}/readyz`)
      await body.dump()
      return statusCode === 200
    } catch {
      return false
    }
  }

  /** Whether the instance has a usable connection to every endpoint. */
  async isConnected (id: InstanceId): Promise<boolean> {
    const status = await this.callOperatorApi('GET', '/v1/status', undefined, id)
    const usable = jsonObjectsOf(isJsonObject(status) ? status['endpoints'] : [])
      .filter(({ state }) => state === 'warm' || state === 'cold')
    return usable.length >= this.standIns.endpoints.length
  }

  async callOperatorApi (method: 'GET' | 'POST', path: string, body?: Json, id: InstanceId = this.ids[0]!): Promise<Json> {
    const answer = await request(`http://${LOOPBACK}:${this.#portsOf(id).operators}${path}`, {
      method,
      headers: { authorization: `Bearer ${this.#secrets.OPERATOR}`, 'content-type': 'application/json' },
      body: body === undefined ? undefined : JSON.stringify(body)
    })
    return await answer.body.json() as Json
  }

  async waitUntil (isDone: () => Promise<boolean>): Promise<void> {
    const end = this.clock.now() + WAIT_TIMEOUT
    while (!await isDone().catch(() => false)) {
      if (this.clock.now() > end) throw new Error(`the condition was not met within ${WAIT_TIMEOUT} ms`)
      await this.clock.sleep(POLL_PERIOD)
    }
  }

  async stop (): Promise<void> {
    for (const { process: child } of this.#members) child?.kill('SIGKILL')
    await Promise.all(this.#members.map(({ exit }) => exit))
    await this.standIns.close()
    rmSync(this.#settingsDir, { recursive: true, force: true })
  }

  #portsOf (id: InstanceId): Ports {
    const { ports } = this.#member(id)
    if (ports === undefined) throw new Error(`${id} has not opened its listeners yet`)
    return ports
  }

  #member (id: InstanceId): Member {
    const member = this.#members.find((each) => each.id === id)
    if (member === undefined) throw new Error(`${id} is not an instance of this fleet`)
    return member
  }

  #settings ({ id, domain }: Member): string {
    const { origins } = this.standIns
    return [
      `id = "${id}"`,
      `domain = "${domain.id}"`,
      `region = "${domain.region}"`,
      '[listen]',
      `callers = "${LOOPBACK}:0"`,
      `operators = "${LOOPBACK}:0"`,
      `peers = "${LOOPBACK}:0"`,
      '[platform]',
      `table = "${origins.table}"`,
      `objects = "${origins.objects}"`,
      `instanceList = "${origins.instanceList}"`,
      '[secrets]',
      'peers = { env = "PEERS" }',
      'operators = { env = "OPERATORS" }',
      ''
    ].join('\n')
  }
}

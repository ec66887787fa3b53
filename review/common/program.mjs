/** Starts the program of the deploy file as separate processes, with settings rendered from its template. */
import { spawn } from 'node:child_process'
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs'
import { get } from 'node:http'
import { createServer } from 'node:net'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { render } from './render.mjs'

const ROOT = fileURLToPath(new URL('../../', import.meta.url))
const DEPLOY = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
const TEMPLATE = readFileSync(join(ROOT, /^template = "(.*)"$/m.exec(DEPLOY)[1]), 'utf8')
const [COMMAND, ...ARGS] = /^run = "(.*)"$/m.exec(DEPLOY)[1].split(' ')

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

/** Below the ports that the system gives to outgoing connections, which could take a free one again before it is used. */
const FIRST_PORT = 12_000
const PORTS = 16_000
const chosenPorts = new Set()

const isFree = (ip, port) => new Promise((resolve) => {
  const server = createServer()
  server.once('error', () => resolve(false))
  server.listen(port, ip, () => server.close(() => resolve(true)))
})

/** A free port of a loopback address, another one at each call. */
export const freePort = async (ip) => {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS)
    if (chosenPorts.has(port) || !await isFree(ip, port)) continue
    chosenPorts.add(port)
    return port
  }
}

/** Fields of the settings, as in the example of the platform's pages. */
const fieldsOf = ({ id, zone, zones, ip, ports, store, graceS = 8 }) => ({
  nodeName: id,
  zone,
  region: 'scl',
  zones,
  ip,
  'limits.cpuShare': 0.675,
  'limits.cores': 1,
  'listen.frontend': `${ip}:${ports.callers}`,
  'listen.readiness': `${ip}:${ports.health}`,
  'internalPortRange.0': ports.peers,
  'internalPortRange.1': ports.peers,
  'limits.memoryMb': 400,
  'limits.maxFds': 4096,
  // The deployment of the cases has no duties.
  'cloudApi.address': '',
  'platform.address': store,
  'bounds.graceS': graceS,
  'bounds.retryBudgetRatio': 0.2,
  'bounds.retryWindowS': 10,
  'bounds.retrySlack': 52,
  'bounds.exposureShare': 0.1
})

const statusOf = (ip, port, path) => new Promise((resolve) => {
  const req = get({ host: ip, port, path, agent: false, timeout: 500 }, (res) => {
    res.resume()
    resolve(res.statusCode)
  })
  req.on('error', () => resolve(0))
  req.on('timeout', () => req.destroy())
})

const children = new Set()
process.on('exit', () => { for (const child of children) child.kill('SIGKILL') })

/** One machine of the system: a process that can be stopped by signals and started again with the same settings. */
export class Program {
  #folder
  #fields
  #child
  #log

  constructor (folder, fields) {
    this.#folder = folder
    this.#fields = fields
    this.#log = createWriteStream(join(folder, `${fields.id}.log`))
  }

  get id () { return this.#fields.id }
  get ip () { return this.#fields.ip }
  get port () { return this.#fields.ports.callers }
  get isRunning () { return this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null }

  start () {
    const file = join(this.#folder, `${this.id}.toml`)
    writeFileSync(file, render(TEMPLATE, fieldsOf(this.#fields)))
    const { PATH, HOME, LANG = 'C.UTF-8' } = process.env
    this.#child = spawn(COMMAND, ARGS, {
      cwd: ROOT, env: { PATH, HOME, LANG, PAPAYAHILL_NODE_FILE: file }, stdio: ['ignore', 'pipe', 'pipe']
    })
    const child = this.#child
    children.add(child)
    child.once('exit', () => children.delete(child))
    this.#child.stdout.pipe(this.#log, { end: false })
    this.#child.stderr.pipe(this.#log, { end: false })
  }

  signal (name) {
    if (this.isRunning) this.#child.kill(name)
  }

  /** Resolves when the process has ended. */
  async ended () {
    while (this.isRunning) await sleep(10)
  }

  async isReady () {
    return await statusOf(this.ip, this.#fields.ports.health, '/readyz') === 200
  }

  async ready (maxMs = 15_000) {
    const until = Date.now() + maxMs
    while (!await this.isReady()) {
      if (Date.now() > until || !this.isRunning) throw new Error(`${this.id} is not ready`)
      await sleep(25)
    }
  }
}

/** Starts machines of the given ids, one a zone, and waits until they are ready and have links to each other. */
export const startMachines = async (folder, ids, store, more = {}) => {
  const zones = Object.fromEntries(ids.map((_id, at) => [`scl-${'abcd'[at % 4]}`, 'scl']))
  const machines = []
  for (const [at, id] of ids.entries()) {
    const ip = '127.0.0.1'
    const ports = { callers: await freePort(ip), health: await freePort(ip), peers: await freePort(ip) }
    machines.push(new Program(folder, { id, zone: `scl-${'abcd'[at % 4]}`, zones, ip, ports, store, ...more }))
  }
  for (const machine of machines) machine.start()
  for (const machine of machines) await machine.ready()
  await sleep(4000)
  return machines
}

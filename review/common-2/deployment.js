/** Starts the program of the deploy file, with settings rendered from its template as the platform renders them. */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = fileURLToPath(new URL('../../', import.meta.url))
const DEPLOY = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')

/** Longest wait in milliseconds for an instance to be ready. */
const MAX_START_MS = 20_000
const READY_STEP_MS = 50

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

const settingOf = (name) => new RegExp(`^${name} = "(.*)"$`, 'm').exec(DEPLOY)?.[1]

/** The value of a dotted name in the innermost scope that has it. */
const valueOf = (scopes, name) => {
  if (name === '.') return scopes[0].entry
  const [first, ...rest] = name.split('.')
  const scope = scopes.find(({ entry }) => typeof entry === 'object' && entry !== null && first in entry)
  return rest.reduce((value, key) => value?.[key], scope?.entry[first])
}

const textOf = (value, isJson) => {
  if (value === undefined || value === null) return ''
  if (isJson) return JSON.stringify(value)
  return Array.isArray(value) ? value.join(',') : String(value)
}

const renderSection = (body, scopes, value, isInverted) => {
  const isEmpty = value === undefined || value === null || value === false
  if (isInverted) return isEmpty ? render(body, scopes) : ''
  if (isEmpty) return ''
  if (typeof value !== 'object') return render(body, scopes)
  const entries = Object.entries(value)
  return entries.map(([key, entry]) => render(body, [{ entry, key }, ...scopes])).join('')
}

/** Renders the part of the template language that the template uses: values, sections, keys. */
const render = (template, scopes) => template
  .replace(/\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g, (_all, kind, name, body) =>
    renderSection(body, scopes, valueOf(scopes, name), kind === '^'))
  .replace(/\{\{@\}\}/g, () => scopes[0].key ?? '')
  .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, name, json) => textOf(valueOf(scopes, name), json !== undefined))

/** A free port of an address. */
export const freePort = (ip) => new Promise((resolve, reject) => {
  const server = createServer()
  server.once('error', reject)
  server.listen(0, ip, () => {
    const { port } = server.address()
    server.close(() => resolve(port))
  })
})

/** Bounds of the smallest installation on the pages. */
export const BOUNDS = {
  contactMs: 3000,
  drainMs: 2000,
  graceS: 8,
  configApplyMs: 2000,
  retryBudgetRatio: 0.2,
  retryWindowS: 10,
  retrySlack: 52,
  exposureShare: 0.1,
  exposureSlack: 50,
  rollbackMs: 5000
}

/** One process of the system. */
export class Instance {
  #child
  #folder = mkdtempSync(join(tmpdir(), 'review-2-'))
  #options
  #ports
  log = ''

  constructor (options) {
    this.#options = options
  }

  get id () { return this.#options.id }
  get ip () { return this.#options.ip }
  get callersPort () { return this.#ports.callers }
  get pid () { return this.#child?.pid }
  get hasEnded () { return this.#child.exitCode !== null || this.#child.signalCode !== null }
  get end () { return this.#child.exitCode ?? this.#child.signalCode }

  /** Starts the process; the ports stay the same when it is started again. */
  async start () {
    const { id, ip, zone, store, zones = [zone] } = this.#options
    this.#ports ??= { callers: await freePort(ip), health: await freePort(ip), peers: await freePort(ip) }
    const { callers, health, peers } = this.#ports
    const fields = {
      nodeName: id,
      zone,
      region: 'r1',
      zones: Object.fromEntries(zones.map((name) => [name, 'r1'])),
      limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100 },
      ip,
      listen: { frontend: `${ip}:${callers}`, readiness: `${ip}:${health}` },
      internalPortRange: [peers, peers],
      platform: { address: store },
      bounds: BOUNDS
    }
    const template = readFileSync(join(ROOT, settingOf('template')), 'utf8')
    const file = join(this.#folder, 'settings')
    writeFileSync(file, render(template, [{ entry: fields }]))
    const [program, ...args] = settingOf('run').split(' ')
    const env = { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, PAPAYAHILL_NODE_FILE: file }
    this.#child = spawn(program === 'node' ? process.execPath : program, args, { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe'] })
    this.#child.stdout.on('data', (data) => { this.log += data })
    this.#child.stderr.on('data', (data) => { this.log += data })
  }

  async isReady () {
    const answer = await fetch(`http://${this.ip}:${this.#ports.health}/readyz`).catch(() => undefined)
    return answer?.status === 200
  }

  /** Waits until the process is ready; throws if it is not in time. */
  async ready () {
    const until = Date.now() + MAX_START_MS
    while (!await this.isReady()) {
      if (Date.now() > until || this.hasEnded) throw new Error(`${this.id} did not become ready: ${this.log.slice(-2000)}`)
      await sleep(READY_STEP_MS)
    }
  }

  signal (name) {
    this.#child.kill(name)
  }

  /** Resolves when the process has ended. */
  ended () {
    return this.hasEnded ? Promise.resolve() : new Promise((resolve) => this.#child.once('exit', resolve))
  }

  close () {
    if (this.#child !== undefined) {
      this.#child.kill('SIGCONT')
      this.#child.kill('SIGKILL')
    }
    rmSync(this.#folder, { recursive: true, force: true })
  }
}

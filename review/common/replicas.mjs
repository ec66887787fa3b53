/** Stand-ins of replicas: plain services, model replicas and replicas of a stage. All keep to the platform's pages. */
import { randomBytes } from 'node:crypto'
import { createServer } from 'node:http'
import { sleep } from './program.mjs'

const bodyOf = async (req) => {
  const parts = []
  for await (const part of req) parts.push(part)
  return Buffer.concat(parts)
}

const newId = (bytes = 6) => randomBytes(bytes).toString('hex')

/** A replica with an HTTP server of its own; registers itself in the store and writes there every heartbeat. */
class Replica {
  id = `i-${newId()}`
  #server
  #timer
  #sequence = 1

  constructor (service, zone, slots) {
    this.service = service
    this.zone = zone
    this.slots = slots
  }

  async register (store) {
    this.#server = createServer((req, res) => { this.#serve(req, res).catch(() => res.destroy()) })
    this.#server.keepAliveTimeout = 60_000
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this.#server.address().port}`
    const born = Date.now()
    const write = () => store.put('servers', this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: this.#sequence++,
      born
    })
    write()
    this.#timer = setInterval(write, 1200)
  }

  close () {
    clearInterval(this.#timer)
    this.#server.close()
    this.#server.closeAllConnections()
  }

  async #serve (req, res) {
    const expected = req.headers['papayahill-expect-instance']
    if (req.url === '/healthz') return this.answer(req, res, 200, { 'Papayahill-Replica-Id': this.id }, '')
    const body = await bodyOf(req)
    if (expected !== undefined && expected !== this.id) return this.answer(req, res, 421, { 'Papayahill-Not-Executed': '1' }, '')
    await this.serve(req, res, body)
  }

  answer (req, res, status, headers, body) {
    const attempt = req.headers['papayahill-attempt-id']
    if (attempt !== undefined) res.setHeader('Papayahill-Attempt-Id', attempt)
    res.writeHead(status, { 'Content-Length': Buffer.byteLength(body), ...headers })
    res.end(body)
  }
}

/** Runs the pieces of a stage, call by call; holds each result until it is freed or its time is over. */
export class StageReplica extends Replica {
  /** When the replica was last at work on a piece of a request. */
  workedUntil = new Map()
  #calls = []
  #isBusy = false

  constructor ({ service, zone, profile, record, held }) {
    super(service, zone, profile.slots)
    this.profile = profile
    this.record = record
    this.held = held
  }

  async serve (req, res, body) {
    const { entries, handles } = JSON.parse(body.toString())
    if (req.url === '/stage-free') {
      for (const handle of handles) this.held.delete(handle)
      return this.answer(req, res, 200, {}, '')
    }
    if (this.#calls.length > this.profile.queue) return this.answer(req, res, 503, { 'Papayahill-Not-Executed': '1' }, '')
    this.#calls.push({ req, res, entries, at: performance.now() })
    if (!this.#isBusy) await this.#work()
  }

  async #work () {
    this.#isBusy = true
    for (let call = this.#calls.shift(); call !== undefined; call = this.#calls.shift()) await this.#run(call)
    this.#isBusy = false
  }

  async #run ({ req, res, entries, at }) {
    if (res.destroyed) return
    const { callMs, itemMs, handleTtlS } = this.profile
    for (const { id } of entries) this.workedUntil.set(id, Infinity)
    const faults = entries.map((entry) => this.#faultOf(entry, performance.now() - at))
    await sleep(callMs + itemMs * entries.length)
    for (const { id } of entries) this.workedUntil.set(id, performance.now())
    const answers = entries.map(({ id, phase, segment }, index) => {
      if (faults[index] !== undefined) return { reason: faults[index] }
      const handle = `${this.address}/${newId()}`
      this.held.set(handle, { id, phase, segment, until: performance.now() + handleTtlS * 1000 })
      this.record(`${this.service} ${this.id} made piece ${segment} of stage ${phase} of ${id}: ${handle}`)
      return { handle }
    })
    await this.reply(req, res, entries, JSON.stringify({ entries: answers }))
  }

  #faultOf ({ remainingMs, inputs = [] }, waitedMs) {
    if (remainingMs !== undefined && waitedMs >= remainingMs) return 'late'
    return inputs.every((handle) => isHeld(this.held, handle)) ? undefined : 'gone'
  }

  async reply (req, res, _entries, body) {
    this.answer(req, res, 200, { 'Content-Type': 'application/json', 'Papayahill-Replica-Load': '0,0,1' }, body)
  }
}

const isHeld = (held, handle) => (held.get(handle)?.until ?? 0) > performance.now()

/** Streams events; needs the results of the stages that no other stage follows. */
export class ModelReplica extends Replica {
  constructor ({ service, zone, slots, record, held, events = 6, gapMs = 30, firstMs = 60 }) {
    super(service, zone, slots)
    Object.assign(this, { record, held, events, gapMs, firstMs })
    this.runs = []
  }

  async serve (req, res, body) {
    const attempt = req.headers['papayahill-attempt-id']
    const inputs = (req.headers['papayahill-input-count'] ?? '').split(',').filter((handle) => handle !== '')
    const needsInputs = /[1-9]/.test(req.headers['papayahill-chunk-count'] ?? '')
    if (needsInputs && inputs.length === 0) return this.answer(req, res, 400, { 'Papayahill-Not-Executed': '1' }, '')
    if (!inputs.every((handle) => isHeld(this.held, handle))) return this.answer(req, res, 409, { 'Papayahill-Not-Executed': '1' }, '')
    const results = inputs.map((handle) => ({ handle, ...this.held.get(handle) }))
    const run = { attempt, results, bytes: body.length, isWhole: false }
    this.runs.push(run)
    this.record(`${this.service} ${this.id} runs ${attempt} with the results of ${[...new Set(results.map(({ id }) => id))].join(' ')}`)
    res.setHeader('Papayahill-Attempt-Id', attempt)
    res.writeHead(200, { 'Content-Type': 'text/event-stream', 'Papayahill-Response-Seal': newId(8), 'Papayahill-Weight-Versions': '1' })
    await sleep(this.firstMs)
    const from = Number(req.headers['last-event-id'] ?? 0)
    for (let id = from + 1; id <= this.events && !res.destroyed; id++) {
      res.write(`id: ${id}\ndata: ${attempt} ${id}\n\n`)
      await sleep(this.gapMs)
    }
    run.isWhole = !res.destroyed
    res.end()
  }
}

/** Answers each request after a time. */
export class PlainReplica extends Replica {
  constructor ({ service, zone, slots, record, workMs }) {
    super(service, zone, slots)
    Object.assign(this, { record, workMs })
    this.runs = []
  }

  async serve (req, res) {
    const attempt = req.headers['papayahill-attempt-id']
    const run = { attempt, startedAt: performance.now(), endedAt: undefined, isBroken: false }
    this.runs.push(run)
    this.record(`${this.service} ${this.id} runs ${attempt}`)
    await sleep(this.workMs)
    run.endedAt = performance.now()
    run.isBroken = res.destroyed
    this.answer(req, res, 200, { 'Papayahill-Response-Seal': newId(8), 'Papayahill-Replica-Load': '0,0,6' }, `done ${attempt}`)
  }
}

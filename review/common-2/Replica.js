/** Stand-in of one replica of a service, as the pages describe a sound one. */
import { createServer } from 'node:http'

const EXPECTED = 'papayahill-expect-instance'
const ATTEMPT = 'papayahill-attempt-id'
const DEADLINE = 'papayahill-deadline-ms'
const NOT_EXECUTED = 'Papayahill-Not-Executed'

/** One request that a replica has received. */
class Work {
  constructor (req, res, body, receivedAt) {
    this.req = req
    this.res = res
    this.body = body
    this.attempt = req.headers[ATTEMPT]
    this.receivedAt = receivedAt
    this.timeLeft = Number(req.headers[DEADLINE] ?? Infinity)
  }

  get isGone () { return this.res.destroyed || this.res.writableEnded }
  get isLate () { return performance.now() - this.receivedAt > this.timeLeft }
}

/**
 * Runs `slots` requests at a time and queues `queue` more, the first come first. `serve` is called when a request begins to run;
 * the slot is free once it resolves.
 */
export class Replica {
  #options
  #server
  #running = 0
  #queue = []
  #sockets = new Set()
  address

  constructor (options) {
    this.#options = { slots: 4, queue: 8, ip: '127.0.0.1', version: 'v1', ...options }
  }

  get id () { return this.#options.id }
  get service () { return this.#options.service }
  get running () { return this.#running }

  /** Listens; a restarted replica keeps its address. */
  async listen () {
    const { ip } = this.#options
    this.#server = createServer((req, res) => { void this.#receive(req, res).catch(() => res.destroy()) })
    this.#server.keepAliveTimeout = 15_000
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.on('close', () => this.#sockets.delete(socket))
    })
    const port = Number(this.address?.split(':')[1] ?? 0)
    await new Promise((resolve, reject) => this.#server.once('error', reject).listen(port, ip, resolve))
    this.address = `${ip}:${this.#server.address().port}`
  }

  /** The replica's entry in the store. */
  entry (more = {}) {
    const { service, zone = 'zone-a', version, slots } = this.#options
    return {
      service, address: this.address, zone, version, slots, state: 'ready', coldRemainingMs: 0, sequence: 1, born: this.#options.born, ...more
    }
  }

  /** Ends at once, with resets, as a crash does. */
  crash () {
    for (const socket of this.#sockets) socket.resetAndDestroy()
    this.#server.close()
    this.#running = 0
    this.#queue = []
  }

  close () {
    this.#server?.closeAllConnections()
    this.#server?.close()
  }

  get #load () {
    return `${this.#running},${this.#queue.length},${this.#options.slots}`
  }

  /** Answers on behalf of a request. */
  answer (work, status, body, headers = {}) {
    if (work.isGone) return
    const echoed = work.attempt === undefined ? {} : { 'Papayahill-Attempt-Id': work.attempt }
    work.res.writeHead(status, { ...echoed, 'Papayahill-Replica-Load': this.#load, ...headers })
    work.res.end(body)
  }

  async #receive (req, res) {
    const receivedAt = performance.now()
    const parts = []
    for await (const part of req) parts.push(part)
    const work = new Work(req, res, Buffer.concat(parts), receivedAt)
    const { id, slots, queue, unlimited = () => false } = this.#options
    const expected = req.headers[EXPECTED]
    if (expected !== undefined && expected !== id) return this.answer(work, 421, '', { 'Papayahill-Replica-Id': id })
    if (unlimited(work)) return await this.#options.serve(work, this)
    if (work.attempt === undefined && req.url !== '/stage-run') return this.answer(work, 400, '', { [NOT_EXECUTED]: '1' })
    if (this.#running < slots) return this.#run(work)
    if (this.#queue.length >= queue) return this.answer(work, 503, '', { [NOT_EXECUTED]: '1' })
    this.#queue.push(work)
  }

  #run (work) {
    this.#running++
    void this.#options.serve(work, this).catch(() => work.res.destroy()).finally(() => {
      this.#running = Math.max(0, this.#running - 1)
      this.#runNext()
    })
  }

  #runNext () {
    while (this.#running < this.#options.slots && this.#queue.length > 0) {
      const work = this.#queue.shift()
      if (work.isGone) continue
      if (work.isLate) this.answer(work, 503, '', { [NOT_EXECUTED]: '1' })
      else this.#run(work)
    }
  }
}

const SEAL = { 'Papayahill-Response-Seal': '3e1b.07.5a2.600.0.c9f2a4d1' }

const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

/** Serves plain requests that take `workMs`. */
export const plain = (workMs, onRun = () => {}) => async (work, replica) => {
  onRun(work, replica)
  const until = performance.now() + workMs
  while (performance.now() < until && !work.isGone) await pause(Math.min(20, Math.max(1, until - performance.now())))
  replica.answer(work, 200, `done ${work.attempt}`, SEAL)
}

/** Serves streams of `count` events, one each `gapMs`; one that is resumed goes on after its last event. */
export const stream = (count, gapMs, onRun = () => {}) => async (work, replica) => {
  onRun(work, replica)
  const first = Number(work.req.headers['last-event-id'] ?? 0) + 1
  for (let id = first; id <= count; id++) {
    await pause(gapMs)
    if (work.isGone || work.isLate) break
    if (id === first) {
      const echoed = { 'Papayahill-Attempt-Id': work.attempt, ...SEAL }
      work.res.writeHead(200, { 'Content-Type': 'text/event-stream', ...echoed })
    }
    work.res.write(`id: ${id}\ndata: event ${id} of ${work.attempt}\n\n`)
  }
  if (work.isLate && !work.res.headersSent) replica.answer(work, 504, '', SEAL)
  else if (!work.isGone) work.isLate ? work.res.destroy() : work.res.end()
}

/** Runs the calls of a stage, `callMs` each and `itemMs` for each piece; its results have numbers. */
export const stage = (callMs, itemMs) => {
  const results = new Results()
  return async (work, replica) => {
    if (work.req.url === '/stage-free') return replica.answer(work, 200, '')
    const { entries } = JSON.parse(work.body)
    await pause(callMs + itemMs * entries.length)
    const made = entries.map((entry) => ({ handle: results.add(replica.address, entry) }))
    replica.answer(work, 200, JSON.stringify({ entries: made }), { 'Content-Type': 'application/json' })
  }
}

/** The results that one replica holds, from its start. */
export class Results {
  #made = 0
  #held = new Map()

  /** Keeps the result of a piece; returns its handle. */
  add (address, { id, phase, segment }) {
    const handle = `${address}/${(++this.#made).toString(16).padStart(4, '0')}`
    this.#held.set(handle, { id, phase, segment })
    return handle
  }

  get (handle) { return this.#held.get(handle) }
  delete (handle) { this.#held.delete(handle) }
}

/** Calls that need no slot. */
export const isFree = (work) => work.req.url === '/stage-free'

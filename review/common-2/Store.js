/** Stand-in of the platform's store: rows in tables, conditional transactions, and feeds. */
import { createServer } from 'node:http'

const FEED_STEP_MS = 10
const ANSWER_MS = 4

export class Store {
  #rows = new Map()
  #version = 0
  #servers = []
  /** Instances whose calls get no answer, as behind a partition. */
  silent = new Set()
  /** When each instance last began a long poll of a table. */
  longPolls = new Map()
  /** Whether a caller's calls are refused with 503, by the local address from which it calls. */
  refuses = () => false

  /** Listens on an address for one instance, or for all; resolves with the address. */
  async listen (instance, ip = '127.0.0.1') {
    const server = createServer((req, res) => { void this.#serve(req, res, instance).catch(() => res.destroy()) })
    this.#servers.push(server)
    await new Promise((resolve) => server.listen(0, ip, resolve))
    return `${ip}:${server.address().port}`
  }

  put (table, key, value) {
    this.#write({ table, key, data: Buffer.from(JSON.stringify(value)).toString('base64') })
  }

  remove (table, key) {
    this.#write({ table, key, data: undefined })
  }

  /** The value of a row; undefined if there is none. */
  get (table, key) {
    const data = this.#rows.get(`${table} ${key}`)?.data
    return data === undefined ? undefined : JSON.parse(Buffer.from(data, 'base64').toString())
  }

  close () {
    for (const server of this.#servers) {
      server.closeAllConnections()
      server.close()
    }
  }

  #write ({ table, key, data }) {
    this.#rows.set(`${table} ${key}`, { table, part: '', key, data, schemaVersion: ++this.#version })
  }

  async #serve (req, res, instance) {
    const parts = []
    for await (const part of req) parts.push(part)
    await new Promise((resolve) => setTimeout(resolve, ANSWER_MS))
    if (this.refuses(req.socket.remoteAddress)) return this.#answer(res, 503, {})
    const url = new URL(req.url, 'http://store')
    if (this.silent.has(instance)) return
    if (url.pathname === '/rows-feed') return await this.#feed(url, res, instance)
    if (url.pathname === '/rows-get') return this.#read(url, res)
    if (url.pathname === '/rows-tx') return this.#transact(JSON.parse(Buffer.concat(parts).toString()), res)
    return this.#answer(res, 404, {})
  }

  #read (url, res) {
    const from = url.searchParams.get('startRevision') ?? ''
    const rows = this.#rowsOf(url).filter(({ data, key }) => data !== undefined && key >= from)
    rows.sort((left, right) => Buffer.compare(Buffer.from(left.key), Buffer.from(right.key)))
    this.#answer(res, 200, { rows, hasMore: false })
  }

  async #feed (url, res, instance) {
    const after = Number(url.searchParams.get('after'))
    if (Number(url.searchParams.get('waitMs')) > 0) this.longPolls.set(`${url.searchParams.get('table')} ${instance}`, performance.now())
    const until = performance.now() + Number(url.searchParams.get('waitMs'))
    for (;;) {
      if (this.silent.has(instance)) return
      const rows = this.#rowsOf(url).filter(({ schemaVersion }) => schemaVersion > after)
      rows.sort((left, right) => left.schemaVersion - right.schemaVersion)
      if (rows.length > 0 || performance.now() >= until || res.destroyed) {
        return this.#answer(res, 200, { rows: rows.map((row) => row.data === undefined ? { ...row, deleted: true } : row) })
      }
      await new Promise((resolve) => setTimeout(resolve, FEED_STEP_MS))
    }
  }

  #transact ({ expected, write, remove }, res) {
    const found = expected.map(({ table, key }) => this.#rows.get(`${table} ${key}`)).map((row) => row?.data === undefined ? undefined : row)
    const holds = expected.every(({ schemaVersion }, at) => (found[at]?.schemaVersion ?? 0) === schemaVersion)
    if (!holds) return this.#answer(res, 412, { rows: found.filter((row) => row !== undefined) })
    for (const row of write) this.#write(row)
    for (const { table, key } of remove) this.#write({ table, key, data: undefined })
    this.#answer(res, 200, {})
  }

  #rowsOf (url) {
    return [...this.#rows.values()].filter(({ table }) => table === url.searchParams.get('table'))
  }

  #answer (res, status, body) {
    res.writeHead(status, { 'content-type': 'application/json' })
    res.end(JSON.stringify({ ...body, schemaVersion: this.#version, nowMs: Math.floor(performance.now()) }))
  }
}

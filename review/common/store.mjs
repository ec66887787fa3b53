/** Stand-in of the platform's store: rows in tables, conditional transactions and a feed of changes. */
import { createServer } from 'node:http'

const FEED_STEP_MS = 10

const bodyOf = async (req) => {
  const parts = []
  for await (const part of req) parts.push(part)
  return Buffer.concat(parts)
}

const nameOf = ({ table, part, key }) => JSON.stringify([table, part, key])

export class Store {
  #rows = new Map()
  #changes = []
  #version = 0
  #server

  async listen () {
    this.#server = createServer((req, res) => { this.#serve(req, res).catch(() => res.destroy()) })
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${this.#server.address().port}`
  }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  put (table, key, value) {
    this.#apply([{ table, part: '', key, data: Buffer.from(JSON.stringify(value)).toString('base64') }], [])
  }

  get (table, key) {
    const row = this.#rows.get(nameOf({ table, part: '', key }))
    return row === undefined ? undefined : JSON.parse(Buffer.from(row.data, 'base64').toString())
  }

  #apply (write, remove) {
    const schemaVersion = ++this.#version
    for (const { table, part, key, data } of write) {
      const row = { table, part, key, data, schemaVersion }
      this.#rows.set(nameOf(row), row)
      this.#changes.push(row)
    }
    for (const { table, part, key } of remove) {
      if (this.#rows.delete(nameOf({ table, part, key }))) this.#changes.push({ table, part, key, deleted: true, schemaVersion })
    }
  }

  async #serve (req, res) {
    const url = new URL(req.url, 'http://store')
    const body = await bodyOf(req)
    if (url.pathname === '/rows-tx') return this.#transact(JSON.parse(body.toString()), res)
    if (url.pathname === '/rows-feed') return await this.#feed(url, res)
    if (url.pathname === '/rows-get') return this.#read(url, res)
    this.#answer(res, 404, {})
  }

  #transact ({ expected = [], write = [], remove = [] }, res) {
    const versionOf = (row) => this.#rows.get(nameOf(row))?.schemaVersion ?? 0
    if (expected.some((row) => versionOf(row) !== row.schemaVersion)) {
      return this.#answer(res, 412, { rows: expected.map((row) => this.#rows.get(nameOf(row))).filter((row) => row !== undefined) })
    }
    this.#apply(write, remove)
    this.#answer(res, 200, {})
  }

  #read (url, res) {
    const { table, part = '', startRevision = '', limit = '500' } = Object.fromEntries(url.searchParams)
    const rows = [...this.#rows.values()].filter((row) => row.table === table && row.part === part && row.key >= startRevision)
      .sort((left, right) => Buffer.compare(Buffer.from(left.key), Buffer.from(right.key)))
    this.#answer(res, 200, { rows: rows.slice(0, Number(limit)), hasMore: rows.length > Number(limit) })
  }

  async #feed (url, res) {
    const table = url.searchParams.get('table')
    const after = Number(url.searchParams.get('after'))
    const until = performance.now() + Number(url.searchParams.get('waitMs'))
    for (;;) {
      const rows = this.#changes.filter((row) => row.table === table && row.schemaVersion > after)
      if (rows.length > 0 || performance.now() >= until || res.destroyed) return this.#answer(res, 200, { rows })
      await new Promise((resolve) => setTimeout(resolve, FEED_STEP_MS))
    }
  }

  #answer (res, status, body) {
    res.writeHead(status, { 'content-type': 'application/json' })
    res.end(JSON.stringify({ ...body, schemaVersion: this.#version, nowMs: Math.floor(performance.now()) }))
  }
}

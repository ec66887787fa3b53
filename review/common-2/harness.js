/** What the cases have in common: a small deployment, traffic at steady rates, the record, and the exit code. */
import { Instance, sleep } from './deployment.js'
import { Record } from './Record.js'
import { Store } from './Store.js'
import { send } from './client.js'

/** With `TROUBLE=0` a case runs without its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0'

/** Time for instances that are ready to find each other. */
const SETTLE_MS = 3000

export const HOST = 'desk.example'

/** A route as operators write it. */
export const routeOf = (name, service, more = {}) => ({
  name,
  host: HOST,
  prefix: `/${name}/`,
  kind: 'streaming',
  timeoutMs: 6000,
  targetLatencyMs: 1000,
  priority: 1,
  service,
  maxAttempts: 1,
  phases: [],
  public: true,
  streamResume: false,
  targetGapMs: 300,
  ...more
})

/** A service as operators write it. */
export const serviceOf = (name, more = {}) => ({ name, healthPath: '/healthz', maxConnections: 500, coldStartS: 0, coldPerS: 0, ...more })

export const configOf = (routeTable, services, version = 1) => ({
  version,
  routeTable,
  services,
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
})

/** A small deployment: instances, the store and replicas, all on loopback addresses. */
export class Deployment {
  record = new Record()
  store = new Store()
  replicas = []
  instances = []
  #count = 0

  async start ({ config, replicas, instances, zones = ['zone-a'] }) {
    this.replicas.push(...replicas)
    for (const replica of replicas) {
      await replica.listen()
      this.store.put('servers', replica.id, replica.entry())
    }
    this.store.put('op', 'config', config)
    for (let number = 1; number <= instances; number++) {
      const id = `edge-${number}`
      const zone = zones[number % zones.length]
      this.instances.push(new Instance({ id, ip: `127.0.0.${number + 1}`, zone, zones, store: await this.store.listen(id) }))
    }
    for (const instance of this.instances) await instance.start()
    for (const instance of this.instances) await instance.ready()
    await sleep(SETTLE_MS)
  }

  /** Sends one request of a kind to an instance; resolves with how it ended. */
  async ask (name, kind, instance = this.instances[this.#count % this.instances.length]) {
    const attempt = `${name}-${++this.#count}`
    const tokens = kind.tokens === undefined
      ? {}
      : { 'Papayahill-Model-Id': 'm', 'Papayahill-Token-Usage': kind.tokens, 'Papayahill-Prefix-Hash': `${this.#count.toString(16)}:100` }
    const pieces = kind.pieces === undefined
      ? {}
      : { 'Papayahill-Chunk-Count': kind.pieces, 'Papayahill-Chunk-Key': `k${this.#count}` }
    this.record.add(`${attempt} sent to ${instance.id}`)
    const sentAt = performance.now()
    const ended = await send({
      ip: instance.ip,
      port: instance.callersPort,
      host: HOST,
      path: kind.path,
      method: kind.method ?? 'POST',
      attempt,
      deadlineMs: kind.limitMs,
      headers: { ...tokens, ...pieces, ...kind.headers },
      body: kind.body ?? 'x'
    })
    const { status, why, tookMs } = ended
    this.record.add(`${attempt} ended after ${Math.round(tookMs)} ms: ${status === 0 ? why : status}`)
    return { ...ended, name, attempt, instance, sentAt, timeoutMs: kind.timeoutMs }
  }

  /** Sends requests of one kind at a rate, which may change with the time since the start; resolves with how all ended. */
  async press (name, kind, { startAt, forMs, factorAt = () => 1, pick = () => undefined }) {
    const pending = []
    for (let next = startAt; next < startAt + forMs;) {
      await sleep(Math.max(0, next - performance.now()))
      pending.push(this.ask(name, kind, pick()))
      next += 1000 / (kind.perSecond * factorAt(next - startAt))
    }
    return await Promise.all(pending)
  }

  close () {
    for (const instance of this.instances) instance.close()
    for (const replica of this.replicas) replica.close()
    this.store.close()
  }
}

/** Time after which a run counts as one that could not run. */
const MAX_RUN_MS = 110_000

/**
 * Runs a case, writes its record to a file, and ends the process: 1 if `play` resolves with true, since the rule was broken, 0 if it
 * held, and 2 if the case could not run.
 */
export const runCase = async (recordFile, play) => {
  const deployment = new Deployment()
  const { record } = deployment
  let code = 2
  const abandon = (why) => {
    record.add(`the case could not run: ${why}`)
    deployment.close()
    record.write(recordFile)
    process.exit(2)
  }
  for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => abandon(signal))
  setTimeout(() => abandon('it took too long'), MAX_RUN_MS).unref()
  try {
    const isBroken = await play(deployment)
    record.add(`the rule is ${isBroken ? 'broken' : 'kept'}`)
    code = isBroken ? 1 : 0
  } catch (err) {
    record.add(`the case could not run: ${err.stack}`)
  } finally {
    deployment.close()
    record.write(recordFile)
  }
  process.exit(code)
}

/** Time after a route's timeout at which the rule CONFIG looks, and its least number of requests. */
const LATE_MS = 500
const LEAST_LATE = 8

/**
 * The rule CONFIG on timeouts: of the requests that have no final answer at their route's timeout, more than `share` have none
 * half a second later.
 */
export const breaksTimeouts = (record, answers, share) => {
  const unanswered = answers.filter(({ tookMs, timeoutMs }) => tookMs > timeoutMs)
  const late = unanswered.filter(({ tookMs, timeoutMs }) => tookMs > timeoutMs + LATE_MS)
  const never = late.filter(({ status }) => status === 0)
  record.add(`${answers.length} requests; ${unanswered.length} without a final answer at their route's timeout, ` +
    `${late.length} of them ${LATE_MS} ms later; ${never.length} got none before their requesters left`)
  return late.length >= LEAST_LATE && late.length > unanswered.length * share
}

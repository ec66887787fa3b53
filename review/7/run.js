/** Case 7: machines in touch go on with an older manifest, since those that watch the store for all are cut off from it. */
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { BOUNDS, sleep } from '../common-2/deployment.js'
import { configOf, HAS_TROUBLE, routeOf, runCase, serviceOf } from '../common-2/harness.js'
import { plain, Replica } from '../common-2/Replica.js'

const RECORD = join(dirname(fileURLToPath(import.meta.url)), 'record.txt')
const SERVICE = 'rota-desk'
const INSTANCES = 9
const ZONES = ['zone-a', 'zone-b', 'zone-c', 'zone-d']
const KEYS = { kept: '9dnn2ctnfzs989anu6ws', revoked: 'jnbanfqasnmgkcuyj8pj' }
const kindOf = (key) => ({
  timeoutMs: 800, limitMs: 1500, path: '/book/x', headers: { Authorization: `Token ${key}` }
})

/** The disruption: a third of the machines are cut off from the store, silently. */
const MAX_CUT = 3
const CUT_MS = 12_000
const CHANGE_AFTER_MS = 300
const CALM_MS = 4000
const STEP_MS = 100
const WATCH_MS = 7000
const LONG_POLL_MS = 3500

const route = routeOf('book', SERVICE, { kind: 'unsafe', timeoutMs: 800, targetLatencyMs: 100, public: false })
const configWith = (version, apiKeys) =>
  ({ ...configOf([route], [serviceOf(SERVICE)], version), tenants: [{ name: 'bozi300', apiKeys }] })

/**
 * Resolves when a long poll of the table has just begun. The cut shows the same in the first two of the three seconds that a poll
 * lasts; the later it comes, the sooner the polls end.
 */
const beginOfPoll = async ({ longPolls }) => {
  const newest = () => Math.max(...[...longPolls].filter(([name]) => name.startsWith('op ')).map(([, at]) => at))
  const before = newest()
  while (newest() === before) await sleep(10)
}

await runCase(RECORD, async (deployment) => {
  const { record, store, instances } = deployment
  const ran = new Map()
  const serve = async (work, replica) => {
    ran.set(work.attempt, performance.now())
    record.add(`replica ${replica.id} runs ${work.attempt}`)
    await plain(20)(work, replica)
  }
  const replicas = [1, 2].map((number) => new Replica({ id: `i-${number}`, service: SERVICE, slots: 6, queue: 24, born: Date.now(), serve }))
  await deployment.start({ config: configWith(1, Object.values(KEYS)), replicas, instances: INSTANCES, zones: ZONES })
  await sleep(CALM_MS)
  await beginOfPoll(store)
  const now = performance.now()
  const polling = instances.filter(({ id }) => now - (store.longPolls.get(`op ${id}`) ?? -Infinity) < LONG_POLL_MS)
  const cut = polling.slice(0, MAX_CUT)
  record.add(`machines that have a long poll of the table op at the store: ${polling.map(({ id }) => id).join(' ')}`)
  if (HAS_TROUBLE) {
    for (const { id } of cut) store.silent.add(id)
    record.add(`cut off from the store, which stays up for all others: ${cut.map(({ id }) => id).join(' ')}`)
    setTimeout(() => store.silent.clear(), CUT_MS).unref()
  }
  await sleep(CHANGE_AFTER_MS)
  store.put('op', 'config', configWith(2, [KEYS.kept]))
  const ackedAt = performance.now()
  record.add('version 2 is acknowledged: a key is revoked')
  const calm = instances.filter((instance) => !cut.includes(instance))
  const pending = []
  for (let step = 0; performance.now() < ackedAt + WATCH_MS; step++) {
    pending.push(deployment.ask('revoked', kindOf(KEYS.revoked), calm[step % calm.length]))
    await sleep(STEP_MS)
  }
  const answers = await Promise.all(pending)
  const stale = answers.filter(({ attempt, sentAt }) => sentAt > ackedAt + BOUNDS.configApplyMs && ran.has(attempt))
  const last = Math.max(0, ...answers.filter(({ attempt }) => ran.has(attempt)).map(({ sentAt }) => sentAt - ackedAt))
  record.add(`${stale.length} requests with the revoked key were sent later than ${BOUNDS.configApplyMs} ms after the acknowledgement ` +
    `to machines in touch, and run; the last one that was run was sent ${Math.round(last)} ms after it`)
  return stale.length > 0
})

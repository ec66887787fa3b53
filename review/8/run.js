/** Case 8: requests that wait for a place of their service are not ended at their route's timeout. */
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { breaksTimeouts, configOf, HAS_TROUBLE, routeOf, runCase, serviceOf } from '../common-2/harness.js'
import { isFree, Replica, stage, stream } from '../common-2/Replica.js'

const RECORD = join(dirname(fileURLToPath(import.meta.url)), 'record.txt')
const ENGINE = 'papaya-pool'
const STAGE = 'fee-ledger'
const ENGINE_SLOTS = 4
const CALL_MS = 200
const PIECE_MS = 5
/** The first sentence of the rule: more than half. */
const SHARE = 1 / 2

/** Kinds of requests: the usual rate, the route's timeout, and the requester's own limit. */
const DOSSIER = { perSecond: 11, timeoutMs: 8000, limitMs: 8000, path: '/dossier/x', pieces: '1,1', tokens: '100,20' }
const REPLY = { perSecond: 2, timeoutMs: 1500, limitMs: 4000, path: '/reply/x', tokens: '100,20' }
const EVENTS = { dossier: [5, 100], reply: [1, 100] }

/** The disruption: one kind of request comes more often. The largest factor and time in the site files are 2.6 and 7.0 s. */
const BURST_FACTOR = 2.5
const BURST_MS = 6900
const CALM_MS = 4000
const AFTER_MS = 12_000

const PHASES = [{ service: STAGE, after: [], byteCount: 8000 }, { service: STAGE, after: [0], byteCount: 6000 }]

const config = configOf([
  routeOf('dossier', ENGINE, { timeoutMs: DOSSIER.timeoutMs, priority: 1, phases: PHASES }),
  routeOf('reply', ENGINE, { timeoutMs: REPLY.timeoutMs, priority: 2 })
], [
  serviceOf(ENGINE, { engineType: { slots: ENGINE_SLOTS, kvCapacity: 100_000 } }),
  serviceOf(STAGE, {
    segments: { slots: 1, queue: 2, batch: 20, callMs: CALL_MS, itemMs: PIECE_MS, headroomMb: 20, handleTtlS: 4, linkMbps: 10_000 }
  })
])

await runCase(RECORD, async (deployment) => {
  const { record } = deployment
  const run = new Set()
  const serveEngine = async (work, replica) => {
    run.add(work.attempt)
    record.add(`replica ${replica.id} runs ${work.attempt}`)
    await stream(...EVENTS[work.req.url.split('/')[1]])(work, replica)
  }
  const born = Date.now()
  const engines = [1, 2].map((number) =>
    new Replica({ id: `i-engine-${number}`, service: ENGINE, slots: ENGINE_SLOTS, queue: 12, born, serve: serveEngine }))
  const stages = [1, 2].map((number) =>
    new Replica({ id: `i-stage-${number}`, service: STAGE, slots: 1, queue: 2, born, serve: stage(CALL_MS, PIECE_MS), unlimited: isFree }))
  await deployment.start({ config, replicas: [...engines, ...stages], instances: 2 })
  record.add(`traffic begins; ${HAS_TROUBLE ? `dossiers x ${BURST_FACTOR} from ${CALM_MS} ms for ${BURST_MS} ms` : 'no burst'}`)
  const startAt = performance.now()
  const forMs = CALM_MS + BURST_MS + AFTER_MS
  const factorAt = (since) => HAS_TROUBLE && since >= CALM_MS && since < CALM_MS + BURST_MS ? BURST_FACTOR : 1
  const answers = await Promise.all([
    deployment.press('dossier', DOSSIER, { startAt, forMs, factorAt }), deployment.press('reply', REPLY, { startAt, forMs })
  ])
  const held = answers.flat().filter(({ attempt, status }) => status === 0 && !run.has(attempt))
  record.add(`${held.length} requests had no answer when their requesters left and had reached no replica: ${held.map(({ attempt }) => attempt).join(' ')}`)
  return breaksTimeouts(record, answers.flat(), SHARE)
})

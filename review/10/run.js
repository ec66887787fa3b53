/** Case 10: requests whose stage call is slow are not ended at their route's timeout by the instance that has sent the call. */
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { sleep } from '../common-2/deployment.js'
import { breaksTimeouts, configOf, HAS_TROUBLE, routeOf, runCase, serviceOf } from '../common-2/harness.js'
import { isFree, Replica, stage, stream } from '../common-2/Replica.js'

const RECORD = join(dirname(fileURLToPath(import.meta.url)), 'record.txt')
const ENGINE = 'papaya-pool'
const STAGE = 'fee-ledger'
const CALL_MS = 200
const PIECE_MS = 10
const BATCH = 20
/** The second sentence of the rule: over a quarter. */
const SHARE = 1 / 4

const REPLY = { perSecond: 75, timeoutMs: 1500, limitMs: 2200, path: '/reply/x', pieces: '1', tokens: '100,20' }

/** The disruption: one of two replicas of the stage takes 7.5 times as long, while its health is good. */
const SLOW_FACTOR = 7.5
const SLOW_MS = 6500
const CALM_MS = 4000
const AFTER_MS = 4000
const INSTANCES = 1

const config = configOf([
  routeOf('reply', ENGINE, { timeoutMs: REPLY.timeoutMs, targetLatencyMs: 900, phases: [{ service: STAGE, after: [], byteCount: 8000 }] })
], [
  serviceOf(ENGINE, { engineType: { slots: 64, kvCapacity: 100_000 } }),
  serviceOf(STAGE, {
    segments: { slots: 1, queue: 2, batch: BATCH, callMs: CALL_MS, itemMs: PIECE_MS, headroomMb: 20, handleTtlS: 4, linkMbps: 10_000 }
  })
])

await runCase(RECORD, async (deployment) => {
  const { record } = deployment
  let slowFrom = Infinity
  const isSlow = ({ id }) => {
    const since = performance.now() - slowFrom
    return HAS_TROUBLE && id === 'i-stage-1' && since >= 0 && since <= SLOW_MS
  }
  const serveSound = stage(CALL_MS, PIECE_MS)
  const serveStage = async (work, replica) => {
    if (work.req.url !== '/stage-run') return await serveSound(work, replica)
    const { entries } = JSON.parse(work.body)
    record.add(`replica ${replica.id} begins a call of ${entries.length} pieces${isSlow(replica) ? ', slowly' : ''}`)
    if (isSlow(replica)) await sleep((SLOW_FACTOR - 1) * (CALL_MS + PIECE_MS * entries.length))
    await serveSound(work, replica)
  }
  const born = Date.now()
  const engines = [1, 2].map((number) =>
    new Replica({ id: `i-engine-${number}`, service: ENGINE, slots: 64, queue: 192, born, serve: stream(2, 50) }))
  const stages = [1, 2].map((number) =>
    new Replica({ id: `i-stage-${number}`, service: STAGE, slots: 1, queue: 2, born, serve: serveStage, unlimited: isFree }))
  await deployment.start({ config, replicas: [...engines, ...stages], instances: INSTANCES })
  record.add(`traffic begins; ${HAS_TROUBLE ? `replica i-stage-1 is slow from ${CALM_MS} ms for ${SLOW_MS} ms` : 'all replicas are sound'}`)
  const startAt = performance.now()
  slowFrom = startAt + CALM_MS
  const answers = await deployment.press('reply', REPLY, { startAt, forMs: CALM_MS + SLOW_MS + AFTER_MS })
  return breaksTimeouts(record, answers, SHARE)
})

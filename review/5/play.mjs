/** A machine is stopped while requests that it has accepted still wait for their stage; none of them has been sent to a model replica. */
import { generationHeaders, MANIFEST, STAGE } from '../common/deployment.mjs'
import { sleep, startMachines } from '../common/program.mjs'
import { endMachines, hasTrouble, runCase } from '../common/record.mjs'
import { ModelReplica, StageReplica } from '../common/replicas.mjs'
import { newAttempt, send } from '../common/requester.mjs'
import { Store } from '../common/store.mjs'

const IDS = ['edge-scl-a-1', 'edge-scl-b-1', 'edge-scl-c-1']
const REQUESTS = 30
const GAP_MS = 100
const PIECES = STAGE.batch
const TIME_LIMIT_MS = 20_000
const GRACE_MS = 8000
/** From here on a replica's work excuses the end of a request. */
const LAST_SIXTH_MS = GRACE_MS * 5 / 6

await runCase(async ({ record, temporary, onEnd }) => {
  const store = new Store()
  const address = await store.listen()
  onEnd(() => store.close())
  store.put('op', 'config', MANIFEST)
  const held = new Map()
  const stage = new StageReplica({ service: 'tienda', zone: 'scl-a', profile: STAGE, record, held })
  const models = ['scl-a', 'scl-b'].map((zone) => new ModelReplica({ service: 'asistente', zone, slots: 128, record, held }))
  for (const replica of [stage, ...models]) {
    await replica.register(store)
    onEnd(() => replica.close())
  }
  const machines = await startMachines(temporary, IDS, address)
  onEnd(() => endMachines(machines))
  const stopped = machines[1]
  const requests = []
  for (let at = 0; at < REQUESTS; at++) {
    const attempt = newAttempt()
    const headers = generationHeaders(attempt, PIECES)
    record(`request ${attempt} is sent to ${stopped.id}`)
    requests.push(send(stopped, { path: '/guia/2f', attempt, headers, timeLimitMs: TIME_LIMIT_MS }).then((end) => {
      record(`request ${attempt} ends with ${end.status} (${end.detail}) after ${Math.round(end.endedAt - end.sentAt)} ms`)
      return end
    }))
    await sleep(GAP_MS)
  }
  const signalAt = performance.now()
  if (hasTrouble) {
    record(`SIGTERM to ${stopped.id}`)
    stopped.signal('SIGTERM')
  }
  const ends = await Promise.all(requests)
  const runs = new Set(models.flatMap((model) => model.runs).map(({ attempt }) => attempt))
  const wasAtWork = (attempt) => runs.has(attempt) || (stage.workedUntil.get(attempt) ?? 0) > signalAt + LAST_SIXTH_MS
  return ends.filter(({ attempt, isWhole }) => !isWhole && !wasAtWork(attempt)).map(({ attempt, detail, sentAt, endedAt }) => {
    const after = Math.round(endedAt - sentAt)
    return `${attempt} was read whole, no replica was at work on it in the last sixth, and it got no answer: ${detail} after ${after} ms`
  })
})

/** A killed machine comes back while the stage work that it ordered before is still queued at another machine. */
import { generationHeaders, MANIFEST, STAGE } from '../common/deployment.mjs'
import { sleep, startMachines } from '../common/program.mjs'
import { endMachines, hasTrouble, runCase } from '../common/record.mjs'
import { ModelReplica, StageReplica } from '../common/replicas.mjs'
import { newAttempt, send } from '../common/requester.mjs'
import { Store } from '../common/store.mjs'

const IDS = ['edge-scl-a-1', 'edge-scl-b-1', 'edge-scl-c-1']
const KILLED = 1
const REQUESTS = 6
const PIECES = 6
const RESTART_DELAY_MS = 300

await runCase(async ({ record, temporary, onEnd }) => {
  const store = new Store()
  const address = await store.listen()
  onEnd(() => store.close())
  store.put('op', 'config', MANIFEST)
  const held = new Map()
  const stages = [new StageReplica({ service: 'tienda', zone: 'scl-a', profile: STAGE, record, held })]
  const models = ['scl-a', 'scl-b'].map((zone) => new ModelReplica({ service: 'asistente', zone, slots: 128, record, held }))
  for (const replica of [...stages, ...models]) {
    await replica.register(store)
    onEnd(() => replica.close())
  }
  const machines = await startMachines(temporary, IDS, address)
  onEnd(() => endMachines(machines))
  const machine = machines[KILLED]

  const burst = (name) => Array.from({ length: REQUESTS }, () => {
    const attempt = newAttempt()
    record(`${name}: request ${attempt} is sent to ${machine.id}`)
    return send(machine, { path: '/guia/2f', attempt, headers: generationHeaders(attempt, PIECES), timeLimitMs: 20_000 }).then((end) => {
      record(`${name}: request ${attempt} ends with ${end.status} (${end.detail})`)
      return end
    })
  })
  const first = burst('first')
  await sleep(400)
  if (hasTrouble) {
    record(`SIGKILL to ${machine.id}`)
    machine.signal('SIGKILL')
    await machine.ended()
    await sleep(RESTART_DELAY_MS)
    machine.start()
    await machine.ready()
    record(`${machine.id} is ready again`)
    await sleep(300)
  }
  const second = burst('second')
  await Promise.all([...first, ...second])
  return models.flatMap((model) => model.runs).flatMap(({ attempt, results }) => {
    const foreign = results.filter(({ id }) => id !== attempt)
    const own = new Set(results.filter(({ id }) => id === attempt).map(({ segment }) => segment))
    if (foreign.length > 0) return [`${attempt} was given ${foreign.length} results of ${foreign[0].id}`]
    return own.size === PIECES && results.length === PIECES ? [] : [`${attempt} was given ${results.length} results instead of ${PIECES}`]
  })
})

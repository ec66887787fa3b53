import { readFileSync } from 'node:fs'
import { brand, isJsonObject, jsonObjectsOf, millis, SeededRandom } from '@papayahill/common'
import type { Clock, DomainId, Json, JsonObject, Random, ServiceId } from '@papayahill/common'
import { encodeConfig, formatFault, parseOperatorConfig } from '@papayahill/settings'
import type { OperatorConfig } from '@papayahill/settings'
import { CallerLog, HttpCallers } from '@papayahill/testbed'
import { CliFailure } from '../CliFailure.js'
import { EXIT_CODES } from '../exitCodes.js'
import { OperatorClient } from '../OperatorClient.js'
import type { Cli } from '../types.js'
import {
  DEMO_IN_AT, DEMO_MOVE_SPAN, DEMO_OUT_AT, DEMO_REQUEST_GAP, DEMO_SETTLE, DEMO_SPAN, DEMO_START_LIMIT, DEMO_WEIGHTS
} from './constants.js'
import { DemoDeployment } from './DemoDeployment.js'
import { attainmentTable, costTable, errorLines, checkDemo, moveLine } from './showDemo.js'
import type { CostLine, DemoVerdict } from './showDemo.js'

const EXAMPLE = 'consorcio.toml'
const OUT_DOMAIN = brand<DomainId>('scl-b')
const MOVED_SERVICE = brand<ServiceId>('storefronts')
const NEW_VERSION = 'v2'
const POLL_PERIOD = millis(100)

const readExample = (): OperatorConfig => {
  const text = readFileSync(new URL(`../../../../examples/${EXAMPLE}`, import.meta.url), 'utf8')
  const parsed = parseOperatorConfig(text, EXAMPLE)
  if (parsed.isErr) throw new CliFailure(parsed.error.map(formatFault).join('\n'), EXIT_CODES.malformed)
  return parsed.value
}

/** Context shared by the steps of a demo run. */
interface DemoRun {
  readonly cli: Cli
  readonly clock: Clock
  readonly config: OperatorConfig
  readonly deployment: DemoDeployment
  readonly client: OperatorClient
}

const status = async (run: DemoRun): Promise<JsonObject> => {
  const answer = await run.client.request('GET', '/v1/status')
  return isJsonObject(answer) ? answer : {}
}

const isInForce = async (run: DemoRun, version: number): Promise<boolean> => {
  const inForce = jsonObjectsOf((await status(run)).inForce)
  return inForce.length > 0 && inForce.every((each) => Number(each.version) >= version)
}

const waitInForce = async (run: DemoRun, accepted: Json): Promise<void> => {
  const version = isJsonObject(accepted) ? Number(accepted.version) : 0
  const until = run.clock.now() + DEMO_START_LIMIT
  while (!await isInForce(run, version)) {
    if (run.clock.now() > until) throw new CliFailure('the configuration did not come into force in time', EXIT_CODES.refused)
    await run.clock.sleep(POLL_PERIOD)
  }
}

const isConnected = (endpoint: JsonObject): boolean => endpoint.state === 'warm' || endpoint.state === 'cold'

/** Waits until every instance is connected to all endpoints, which starts only with the configuration that names their services. */
const waitForEndpoints = async (run: DemoRun): Promise<void> => {
  const until = run.clock.now() + DEMO_START_LIMIT
  const listed = run.deployment.standIns.endpoints.length
  for (const { operators } of run.deployment.instances) {
    const client = new OperatorClient({ origins: [operators], token: run.deployment.operatorToken, clock: run.clock })
    const own = { ...run, client }
    while (jsonObjectsOf((await status(own)).endpoints).filter(isConnected).length < listed) {
      if (run.clock.now() > until) throw new CliFailure('the endpoints did not become usable in time', EXIT_CODES.refused)
      await run.clock.sleep(POLL_PERIOD)
    }
    await client.close()
  }
}

const applyConfig = async (run: DemoRun): Promise<void> => {
  const changes = [{ kind: 'replace', config: encodeConfig(run.config) }]
  await waitInForce(run, await run.client.request('POST', '/v1/config/changes', { changes, base: 0 }))
  await waitForEndpoints(run)
  run.cli.print('configuration in force on 3 instances')
}

const takeDomainOutAndIn = async (run: DemoRun): Promise<void> => {
  const { clock, client, cli, deployment } = run
  await clock.sleep(DEMO_OUT_AT)
  await waitInForce(run, await client.request('POST', `/v1/domains/${OUT_DOMAIN}/out`, {}))
  deployment.trace.add({ type: 'domain-out', at: clock.now(), domain: OUT_DOMAIN })
  cli.print(`failure domain ${OUT_DOMAIN} is out, in force on 3 instances`)
  await clock.sleep(millis(DEMO_IN_AT - DEMO_OUT_AT))
  await waitInForce(run, await client.request('POST', `/v1/domains/${OUT_DOMAIN}/in`, {}))
  deployment.trace.add({ type: 'domain-in', at: clock.now(), domain: OUT_DOMAIN })
  cli.print(`failure domain ${OUT_DOMAIN} is back`)
}

const startMove = async (run: DemoRun): Promise<void> => {
  const service = run.config.services.get(MOVED_SERVICE)
  if (service === undefined) return
  for (const domain of run.config.domains.keys()) await run.deployment.standIns.addEndpoint(service, NEW_VERSION, domain)
  const by = run.clock.wall() + DEMO_MOVE_SPAN
  await run.client.request('POST', '/v1/moves', { service: MOVED_SERVICE, to: NEW_VERSION, by })
  run.cli.print(`move of ${MOVED_SERVICE} to ${NEW_VERSION} started, due in ${DEMO_MOVE_SPAN / 1000} s`)
}

const sendTraffic = async (run: DemoRun, random: Random, callerLog: CallerLog): Promise<void> => {
  const targets = run.deployment.instances.map(({ id, callers }) => ({ instance: id, origin: callers }))
  const { config, clock } = run
  const callers = new HttpCallers({ targets, config, clock, random, callerLog, gap: DEMO_REQUEST_GAP, weights: DEMO_WEIGHTS })
  await callers.run(DEMO_SPAN)
  await callers.close()
}

const showResults = async (run: DemoRun, callerLog: CallerLog): Promise<DemoVerdict> => {
  const { cli, client } = run
  const cost = await client.request('GET', '/v1/cost')
  const moves = jsonObjectsOf((await status(run)).moves)
  const verdict = checkDemo(run.deployment.trace)
  const section = (title: string, lines: readonly string[]): void => {
    cli.print('')
    cli.print(title)
    for (const line of lines) cli.print(`  ${line}`)
  }
  section('Attainment by class, by the callers\' own clocks', attainmentTable(callerLog, run.config))
  section('Cost by stage, as metered', costTable(jsonObjectsOf(isJsonObject(cost) ? cost.rows : []) as unknown as readonly CostLine[]))
  section('Refused or failed', errorLines(callerLog))
  section('Moves', moves.map(moveLine))
  section('By the stand-ins\' and callers\' own records', [
    `lost ${verdict.lost}, doubled ${verdict.doubled}, crossed ${verdict.crossed}`, ...verdict.violations
  ])
  return verdict
}

/**
 * Runs three instances on loopback against stand-ins and sends them a mix of requests for a bounded time. Meanwhile a
 * failure domain is taken out and brought back, and a service moves to a new version.
 *
 * @returns whether the records of callers and stand-ins satisfy every invariant.
 */
export const runDemo = async (cli: Cli, seed: number): Promise<boolean> => {
  const { clock } = cli
  const random = new SeededRandom(seed)
  const config = readExample()
  const deployment = new DemoDeployment(config, clock, random)
  await deployment.start()
  const client = new OperatorClient({
    origins: deployment.instances.map(({ operators }) => operators), token: deployment.operatorToken, clock
  })
  const run: DemoRun = { cli, clock, config, deployment, client }
  await applyConfig(run)
  await startMove(run)
  const callerLog = new CallerLog(clock, deployment.trace)
  await Promise.all([sendTraffic(run, random.fork(), callerLog), takeDomainOutAndIn(run)])
  await clock.sleep(DEMO_SETTLE)
  const verdict = await showResults(run, callerLog)
  await client.close()
  await deployment.stop()
  return verdict.violations.length === 0
}

import { brand, epochMillis, isJsonObject, refusal, seconds } from '@papayahill/common'
import type { Clock, EventLog, Failure, IdempotencyKey, Json, JsonObject, OperatorName, WorkspaceId } from '@papayahill/common'
import type { ConfigChange } from '@papayahill/control'
import type { EntryInstance } from '@papayahill/instance'
import { encodeConfig } from '@papayahill/settings'
import type { InstanceSecrets } from '@papayahill/settings'
import { Result } from 'true-myth'
import { OPERATOR_BODY_BYTES, STATUS_WINDOW } from '../constants.js'
import { createApp, sendJson } from '../createApp.js'
import type { App, Exchange, Route } from '../createApp.js'
import { EDGE_EVENTS } from '../events.js'
import { healthRoutes } from '../healthRoutes.js'
import { metricsRoute, operatorGuard } from '../metricsRoute.js'
import { sendProblem } from '../problem.js'
import { readBody } from '../readBody.js'
import type { RequestIds } from '../RequestIds.js'
import { readChange } from './readChange.js'
import { readOrder } from './readOrder.js'
import { readQuarantineOrder } from './readQuarantineOrder.js'
import { statusOf } from './statusOf.js'

export interface OperatorsAppOptions {
  readonly instance: EntryInstance
  readonly clock: Clock
  readonly log: EventLog
  readonly secrets: InstanceSecrets
  readonly ids: RequestIds
}

const ISO_DATE_LENGTH = 10

/** Handles an operator's request; returns the body of the 200 answer or a failure. */
type OperatorHandler = (input: OperatorInput) => Promise<Result<unknown, Failure>> | Result<unknown, Failure>

interface OperatorInput {
  readonly instance: EntryInstance
  readonly clock: Clock
  readonly operator: OperatorName
  readonly params: Readonly<Record<string, string>>
  readonly query: URLSearchParams
  readonly body: JsonObject
}

interface OperatorRoute {
  readonly method: Route['method']
  readonly path: string
  readonly answer: OperatorHandler
}

const invalid = (detail: string): Failure => refusal('invalid-change', detail)

const propose = async (
  { instance, operator }: OperatorInput, changes: readonly ConfigChange[], base?: number
): Promise<Result<unknown, Failure>> => await instance.config.propose(changes, operator, base)

const proposeOne = (input: OperatorInput, json: Json): Promise<Result<unknown, Failure>> | Result<unknown, Failure> => {
  const change = readChange(json, input.instance.config.view())
  return change.isErr ? Result.err(invalid(change.error)) : propose(input, [change.value])
}

/** A replacement sets the complete configuration, so it must not overwrite a version that its author has not seen. */
const proposeAll = (input: OperatorInput): Promise<Result<unknown, Failure>> | Result<unknown, Failure> => {
  const { changes, base } = input.body
  const view = input.instance.config.view()
  if (!Array.isArray(changes) || changes.length === 0) return Result.err(invalid('send a list of changes'))
  const read = (changes as readonly Json[]).map((change) => readChange(change, view))
  const faults = read.flatMap((change) => change.isErr ? [change.error] : [])
  if (faults.length > 0) return Result.err(invalid(faults.join('; ')))
  const accepted = read.flatMap((change) => change.isOk ? [change.value] : [])
  const isReplacement = accepted.some((change) => change.kind === 'replace')
  return propose(input, accepted, typeof base === 'number' ? base : isReplacement ? view.version : undefined)
}

const resolveClaim = async ({ instance, params, body }: OperatorInput): Promise<Result<unknown, Failure>> => {
  const { resolution } = body
  if (resolution !== 'ran' && resolution !== 'not-run') return Result.err(invalid('resolution must be ran or not-run'))
  const key = brand<IdempotencyKey>(params.key ?? '')
  const refused = await instance.claims.resolve(brand<WorkspaceId>(params.workspace ?? ''), key, resolution)
  return refused === undefined ? Result.ok({ resolution }) : Result.err(refused)
}

const showCost = async ({ instance, clock, query }: OperatorInput): Promise<Result<unknown, Failure>> => {
  const today = new Date(epochMillis(clock.wall())).toISOString().slice(0, ISO_DATE_LENGTH)
  const from = query.get('from') ?? today
  const to = query.get('to') ?? today
  return Result.ok({ from, to, rows: await instance.cost.rows(from, to), forecasts: instance.cost.forecasts() })
}

const showStatus = ({ instance, query }: OperatorInput): Result<unknown, Failure> => {
  const windowSeconds = Number(query.get('window') ?? 0)
  return Result.ok(statusOf(instance, windowSeconds > 0 ? seconds(windowSeconds) : STATUS_WINDOW))
}

const showConfig = ({ instance }: OperatorInput): Result<unknown, Failure> => {
  const { version, config, author, unrecordedOuts } = instance.config.view()
  return Result.ok({ version, author, unrecordedOuts: [...unrecordedOuts], config: encodeConfig(config) })
}

const issueOrder = async (input: OperatorInput): Promise<Result<unknown, Failure>> => {
  const order = readOrder(input.body)
  if (order.isErr) return Result.err(invalid(order.error))
  return await input.instance.orders.issue(order.value.service, order.value.endpoint, order.value.action)
}

const listQuarantines = ({ instance: { quarantines } }: OperatorInput): Result<unknown, Failure> =>
  Result.ok(quarantines.list().map((quarantine) => ({ ...quarantine, reporters: quarantines.reportersOf(quarantine) })))

const orderQuarantine = ({ instance, operator, clock, body }: OperatorInput): Result<unknown, Failure> => {
  const order = readQuarantineOrder(body, operator, clock.wall())
  if (order.isErr) return Result.err(invalid(order.error))
  instance.quarantines.order(order.value)
  return Result.ok({ action: order.value.action, parts: order.value.parts })
}

const OPERATOR_ROUTES: readonly OperatorRoute[] = [
  { method: 'GET', path: '/v1/config', answer: showConfig },
  { method: 'POST', path: '/v1/config/changes', answer: proposeAll },
  { method: 'GET', path: '/v1/status', answer: showStatus },
  { method: 'POST', path: '/v1/domains/:domain/out', answer: (input) => proposeOne(input, { kind: 'domain-out', domain: input.params.domain ?? '' }) },
  { method: 'POST', path: '/v1/domains/:domain/in', answer: (input) => proposeOne(input, { kind: 'domain-in', domain: input.params.domain ?? '' }) },
  { method: 'GET', path: '/v1/moves', answer: ({ instance }) => Result.ok(instance.moves.status()) },
  { method: 'POST', path: '/v1/moves', answer: (input) => proposeOne(input, { ...input.body, kind: 'move-start' }) },
  { method: 'DELETE', path: '/v1/moves/:service', answer: (input) => proposeOne(input, { kind: 'move-stop', service: input.params.service ?? '' }) },
  { method: 'GET', path: '/v1/claims', answer: async ({ instance }) => Result.ok(await instance.claims.listUnknown()) },
  { method: 'POST', path: '/v1/claims/:workspace/:key', answer: resolveClaim },
  { method: 'GET', path: '/v1/cost', answer: showCost },
  { method: 'GET', path: '/v1/orders', answer: ({ instance }) => Result.ok(instance.orders.status()) },
  { method: 'POST', path: '/v1/orders', answer: issueOrder },
  { method: 'GET', path: '/v1/quarantines', answer: listQuarantines },
  { method: 'POST', path: '/v1/quarantines', answer: orderQuarantine }
]

/** Decodes path parameters; undefined if the path is not valid percent-encoding. */
const decodeParams = (params: Readonly<Record<string, string>>): Readonly<Record<string, string>> | undefined => {
  try {
    return Object.fromEntries(Object.entries(params).map(([name, value]) => [name, decodeURIComponent(value)]))
  } catch {
    return undefined
  }
}

const readInput = async (
  options: OperatorsAppOptions, { req }: Exchange, operator: string
): Promise<Result<OperatorInput, Failure>> => {
  const hasBody = Number(req.headers['content-length'] ?? 0) > 0 || req.headers['transfer-encoding'] !== undefined
  const read = hasBody ? await readBody(req, OPERATOR_BODY_BYTES) : undefined
  if (read?.isErr) return Result.err(refusal(read.error.kind, read.error.detail))
  const json = read?.isOk ? read.value.json : {}
  if (!isJsonObject(json)) return Result.err(refusal('bad-request', 'the body must be a JSON object'))
  const params = decodeParams(req.params)
  if (params === undefined) return Result.err(refusal('bad-request', 'the path is not valid percent-encoding'))
  return Result.ok({
    instance: options.instance,
    clock: options.clock,
    operator: brand<OperatorName>(operator),
    params,
    query: new URLSearchParams(req.search ?? ''),
    body: json
  })
}

/** The routes for operators. */
export const operatorsRoutes = (options: OperatorsAppOptions): readonly Route[] => {
  const guard = operatorGuard(options.secrets, options.log)
  const handlerOf = (route: OperatorRoute): Route['handle'] => guard(async (exchange, operator) => {
    const input = await readInput(options, exchange, operator)
    const result = input.isOk ? await route.answer(input.value) : Result.err<unknown, Failure>(input.error)
    if (result.isErr) return sendProblem(exchange.res, result.error, exchange.id)
    if (route.method !== 'GET') options.log.emit(EDGE_EVENTS.operatorActed, { operator, method: route.method, path: exchange.req.path })
    sendJson(exchange, result.value)
  })
  return [
    ...OPERATOR_ROUTES.map((route): Route => ({ method: route.method, path: route.path, handle: handlerOf(route) })),
    ...healthRoutes(options.instance),
    metricsRoute(options.instance, options.secrets, options.log)
  ]
}

/**
 * Creates the operators' HTTP interface of an instance; all routes but the health checks require an operator's token.
 *
 * @example
 * const app = createOperatorsApp({ instance, clock, log, secrets, ids })
 */
export const createOperatorsApp = (options: OperatorsAppOptions): App =>
  createApp({ routes: operatorsRoutes(options), ids: options.ids, log: options.log })

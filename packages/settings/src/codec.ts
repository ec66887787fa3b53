import type { Json, JsonObject, MicroUnits } from '@papayahill/common'
import { Result } from 'true-myth'
import type { z } from 'zod'
import { MICRO_UNITS_PER_UNIT } from './constants.js'
import { formatDuration } from './duration.js'
import { faultsOf } from './faults.js'
import type { SettingsFault } from './faults.js'
import { BUDGET, CLASS, DOMAIN, MOVE, PIPELINE, SERVICE, WHOLE_CONFIG, WORKSPACE } from './schemas.js'
import type { WholeConfig } from './schemas.js'
import type {
  BudgetSettings, ClassSettings, DomainSettings, MoveSettings, OperatorConfig, PipelineSettings, Prices, ServiceSettings,
  Target, WorkspaceSettings
} from './types.js'

/** Name of a stored or received configuration in faults. */
const RECEIVED = 'received configuration'

type Decoded<Value> = Result<Value, readonly SettingsFault[]>

const toUnits = (amount: MicroUnits): number => amount / MICRO_UNITS_PER_UNIT

/** Removes undefined fields, since JSON cannot represent them. */
const omitUndefined = (fields: Readonly<Record<string, Json | undefined>>): JsonObject =>
  Object.fromEntries(Object.entries(fields).filter((entry): entry is [string, Json] => entry[1] !== undefined))

const decodeWith = <Value>(schema: z.ZodType<Value>, json: Json, file = RECEIVED): Decoded<Value> => {
  const parsed = schema.safeParse(json)
  return parsed.success ? Result.ok(parsed.data) : Result.err(faultsOf(file, json, parsed.error))
}

const encodePrices = (prices: Prices): Json => ({
  perCall: toUnits(prices.perCall),
  perSecond: toUnits(prices.perSecond),
  perThousandTokensIn: toUnits(prices.perThousandTokensIn),
  perThousandTokensCached: toUnits(prices.perThousandTokensCached),
  perThousandTokensOut: toUnits(prices.perThousandTokensOut)
})

export const encodeService = (service: ServiceSettings): Json => ({
  ...service, callTimeout: formatDuration(service.callTimeout), prices: encodePrices(service.prices)
})
export const decodeService = (json: Json): Decoded<ServiceSettings> => decodeWith(SERVICE, json)

export const encodePipeline = (pipeline: PipelineSettings): Json => ({
  id: pipeline.id, stages: pipeline.stages.map((stage) => ({ ...stage }))
})
export const decodePipeline = (json: Json): Decoded<PipelineSettings> => decodeWith(PIPELINE, json)

const encodeTarget = (target: Target): Json => omitUndefined({
  deadline: formatDuration(target.deadline),
  firstChunk: target.firstChunk && formatDuration(target.firstChunk),
  betweenChunks: target.betweenChunks && formatDuration(target.betweenChunks),
  attainment: target.attainment
})

export const encodeClass = (cfg: ClassSettings): Json => ({
  id: cfg.id,
  pipeline: cfg.pipeline,
  target: encodeTarget(cfg.target),
  repeatable: cfg.repeatable,
  keyRequired: cfg.keyRequired,
  streamed: cfg.streamed
})
export const decodeClass = (json: Json): Decoded<ClassSettings> => decodeWith(CLASS, json)

export const encodeWorkspace = (workspace: WorkspaceSettings): Json => omitUndefined({ ...workspace })
export const decodeWorkspace = (json: Json): Decoded<WorkspaceSettings> => decodeWith(WORKSPACE, json)

export const encodeDomain = (domain: DomainSettings): Json => ({ ...domain })
export const decodeDomain = (json: Json): Decoded<DomainSettings> => decodeWith(DOMAIN, json)

export const encodeBudget = (budget: BudgetSettings): Json => omitUndefined({ ...budget, limit: toUnits(budget.limit) })
export const decodeBudget = (json: Json): Decoded<BudgetSettings> => decodeWith(BUDGET, json)

export const encodeMove = (move: MoveSettings): Json => ({ ...move })
export const decodeMove = (json: Json): Decoded<MoveSettings> => decodeWith(MOVE, json)

const byId = <Item extends { readonly id: string }>(items: readonly Item[]): ReadonlyMap<Item['id'], Item> =>
  new Map(items.map((item) => [item.id, item]))

/** Builds the configuration from its parsed lists. */
export const configOf = (whole: WholeConfig): OperatorConfig => ({
  services: byId<ServiceSettings>(whole.services),
  pipelines: byId<PipelineSettings>(whole.pipelines),
  classes: byId<ClassSettings>(whole.classes),
  workspaces: byId<WorkspaceSettings>(whole.workspaces),
  domains: byId<DomainSettings>(whole.domains),
  budgets: whole.budgets,
  domainsOut: new Set(whole.domainsOut),
  moves: new Map(whole.moves.map((move) => [move.service, move]))
})

/**
 * Encodes a whole configuration as JSON, in the format of the operators' file.
 *
 * @example
 * const stored = encodeConfig(config)
 */
export const encodeConfig = (config: OperatorConfig): JsonObject => ({
  services: [...config.services.values()].map(encodeService),
  pipelines: [...config.pipelines.values()].map(encodePipeline),
  classes: [...config.classes.values()].map(encodeClass),
  workspaces: [...config.workspaces.values()].map(encodeWorkspace),
  domains: [...config.domains.values()].map(encodeDomain),
  budgets: config.budgets.map(encodeBudget),
  domainsOut: [...config.domainsOut],
  moves: [...config.moves.values()].map(encodeMove)
})

/**
 * Decodes the output of {@link encodeConfig}. Checks types, not references (see `checkConfig`).
 *
 * @example
 * decodeConfig(encodeConfig(config)).isOk // true
 */
export const decodeConfig = (json: Json, file = RECEIVED): Decoded<OperatorConfig> =>
  decodeWith(WHOLE_CONFIG, json, file).map(configOf)

import { microUnits } from '@papayahill/common'
import type {
  ClassId, DomainId, PipelineId, RegionId, ServiceId, StageId, VersionId, WorkspaceId
} from '@papayahill/common'
import { z } from 'zod'
import { duration, flag, list, money, name, oneOf, share, table, wholeNumber } from './fields.js'

const SERVICE_KINDS = ['engine', 'encoder', 'retriever', 'reranker', 'plain'] as const
const BUDGET_PERIODS = ['day', 'month'] as const
const BUDGET_ANSWERS = ['warn', 'refuse-what-can-wait', 'refuse'] as const
const FREE = microUnits(0)

const price = () => money().default(FREE)

const PRICES = table({
  perCall: price(),
  perSecond: price(),
  perThousandTokensIn: price(),
  perThousandTokensCached: price(),
  perThousandTokensOut: price()
})

export const SERVICE = table({
  id: name<ServiceId>(),
  kind: oneOf(SERVICE_KINDS),
  version: name<VersionId>(),
  callTimeout: duration(),
  checksFencing: flag().default(false),
  statusLookup: flag().default(false),
  prices: PRICES.default({
    perCall: FREE, perSecond: FREE, perThousandTokensIn: FREE, perThousandTokensCached: FREE, perThousandTokensOut: FREE
  })
})

const STAGE = table({ id: name<StageId>(), service: name<ServiceId>() })

export const PIPELINE = table({
  id: name<PipelineId>(),
  stages: list(STAGE).min(1, { error: 'a list of at least one stage' })
})

const TARGET = table({
  deadline: duration(),
  firstChunk: duration().optional(),
  betweenChunks: duration().optional(),
  attainment: share()
})

export const CLASS = table({
  id: name<ClassId>(),
  pipeline: name<PipelineId>(),
  target: TARGET,
  repeatable: flag(),
  keyRequired: flag().optional(),
  streamed: flag().default(false)
}).transform((cfg) => ({ ...cfg, keyRequired: cfg.keyRequired ?? !cfg.repeatable }))

export const WORKSPACE = table({
  id: name<WorkspaceId>(),
  classes: list(name<ClassId>()).optional()
})

export const DOMAIN = table({ id: name<DomainId>(), region: name<RegionId>() })

export const BUDGET = table({
  workspace: name<WorkspaceId>(),
  class: name<ClassId>().optional(),
  stage: name<StageId>().optional(),
  period: oneOf(BUDGET_PERIODS),
  limit: money(),
  atLimit: oneOf(BUDGET_ANSWERS)
})

export const MOVE = table({
  service: name<ServiceId>(),
  from: name<VersionId>(),
  to: name<VersionId>(),
  by: wholeNumber(0, Number.MAX_SAFE_INTEGER),
  startedAt: wholeNumber(0, Number.MAX_SAFE_INTEGER)
})

/** The operators' file. */
export const OPERATOR_FILE = table({
  services: list(SERVICE).default([]),
  pipelines: list(PIPELINE).default([]),
  classes: list(CLASS).default([]),
  workspaces: list(WORKSPACE).default([]),
  domains: list(DOMAIN).default([]),
  budgets: list(BUDGET).default([])
})

/** A whole configuration: the operators' file plus what commands set, which is domains out and moves. */
export const WHOLE_CONFIG = table({
  ...OPERATOR_FILE.shape,
  domainsOut: list(name<DomainId>()).default([]),
  moves: list(MOVE).default([])
})

export type WholeConfig = z.output<typeof WHOLE_CONFIG>

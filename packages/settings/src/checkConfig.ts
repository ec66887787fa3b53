import type { Json } from '@papayahill/common'
import { encodeConfig } from './codec.js'
import { showFound } from './faults.js'
import type { SettingsFault } from './faults.js'
import type { BudgetSettings, ClassSettings, OperatorConfig, PipelineSettings } from './types.js'

const CONFIG_NAME = 'configuration'

/** A fault without the file name. */
type Finding = Omit<SettingsFault, 'file'>

interface NameSet {
  has (name: string): boolean
  keys (): Iterable<string>
}

const unknownName = (key: string, found: string, names: NameSet, what: string): readonly Finding[] => {
  if (names.has(found)) return []
  const known = [...names.keys()].sort().join(', ')
  return [{ key, found: showFound(found), allowed: known === '' ? `a known ${what}; there is none` : `one of ${known}` }]
}

const duplicatesIn = (listName: string, ids: readonly string[]): readonly Finding[] => {
  const repeated = new Set(ids.filter((id, at) => ids.indexOf(id) !== at))
  return [...repeated].map((id) => ({
    key: `${listName}[${id}].id`, found: `${showFound(id)} more than once`, allowed: 'each id once'
  }))
}

const pipelineFindings = (config: OperatorConfig, pipeline: PipelineSettings): readonly Finding[] => [
  ...duplicatesIn(`pipelines[${pipeline.id}].stages`, pipeline.stages.map((stage) => stage.id)),
  ...pipeline.stages.flatMap((stage) =>
    unknownName(`pipelines[${pipeline.id}].stages[${stage.id}].service`, stage.service, config.services, 'service'))
]

const classFindings = (config: OperatorConfig, cfg: ClassSettings): readonly Finding[] => {
  const { deadline, firstChunk } = cfg.target
  const isLate = firstChunk !== undefined && firstChunk > deadline
  const late = { key: `classes[${cfg.id}].target.firstChunk`, found: `${firstChunk}ms`, allowed: `at most the deadline, ${deadline}ms` }
  return [
    ...unknownName(`classes[${cfg.id}].pipeline`, cfg.pipeline, config.pipelines, 'pipeline'),
    ...(isLate ? [late] : [])
  ]
}

const stagesOf = (config: OperatorConfig): ReadonlySet<string> =>
  new Set([...config.pipelines.values()].flatMap((pipeline) => pipeline.stages.map((stage) => stage.id)))

const budgetFindings = (config: OperatorConfig, budget: BudgetSettings, at: number): readonly Finding[] => [
  ...unknownName(`budgets[${at}].workspace`, budget.workspace, config.workspaces, 'workspace'),
  ...(budget.class === undefined ? [] : unknownName(`budgets[${at}].class`, budget.class, config.classes, 'class')),
  ...(budget.stage === undefined ? [] : unknownName(`budgets[${at}].stage`, budget.stage, stagesOf(config), 'stage'))
]

const workspaceFindings = (config: OperatorConfig): readonly Finding[] =>
  [...config.workspaces.values()].flatMap((workspace) => (workspace.classes ?? []).flatMap((id) =>
    unknownName(`workspaces[${workspace.id}].classes`, id, config.classes, 'class')))

const operationFindings = (config: OperatorConfig): readonly Finding[] => [
  ...[...config.domainsOut].flatMap((id) => unknownName('domainsOut', id, config.domains, 'domain')),
  ...[...config.moves.keys()].flatMap((id) => unknownName(`moves[${id}].service`, id, config.services, 'service'))
]

/**
 * Checks the references between the parts of a configuration. An empty list means that it is consistent.
 *
 * @example
 * checkConfig(config).map(formatFault)
 */
export const checkConfig = (config: OperatorConfig, file = CONFIG_NAME): readonly SettingsFault[] => [
  ...[...config.pipelines.values()].flatMap((pipeline) => pipelineFindings(config, pipeline)),
  ...[...config.classes.values()].flatMap((cfg) => classFindings(config, cfg)),
  ...workspaceFindings(config),
  ...config.budgets.flatMap((budget, at) => budgetFindings(config, budget, at)),
  ...operationFindings(config)
].map((finding) => ({ file, ...finding }))

const CHECKED_LISTS = ['services', 'pipelines', 'classes', 'workspaces', 'domains'] as const

interface Listed {
  readonly id: string
}

/** Ids that occur more than once in a list. Must be checked before the lists become maps. */
export const duplicateFaults = (
  lists: Readonly<Record<typeof CHECKED_LISTS[number], readonly Listed[]>>, file: string
): readonly SettingsFault[] => CHECKED_LISTS
  .flatMap((listName) => duplicatesIn(listName, lists[listName].map((item) => item.id)))
  .map((finding) => ({ file, ...finding }))

/** Whether two configurations are equal. */
export const isSameConfig = (left: OperatorConfig, right: OperatorConfig): boolean => {
  const text = (config: OperatorConfig): string => JSON.stringify(encodeConfig(config) satisfies Json)
  return text(left) === text(right)
}

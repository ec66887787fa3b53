import type { KeyLookUp } from '@papayahill/claims'
import type { ClassId } from '@papayahill/common'
import type { EndpointAccess, EndpointPool, KeyStatus } from '@papayahill/endpoints'
import type { OperatorConfig } from '@papayahill/settings'

export interface KeyLookUpOptions {
  readonly access: EndpointAccess
  readonly pool: EndpointPool
  readonly config: () => OperatorConfig
}

const stageCount = (config: OperatorConfig, classId: ClassId): number => {
  const pipeline = config.classes.get(classId)?.pipeline
  return pipeline === undefined ? 0 : config.pipelines.get(pipeline)?.stages.length ?? 0
}

/** That the last of several stages did not run says nothing of those before it. */
const speaksForAll = (status: KeyStatus, stages: number): boolean => stages === 1 || status.kind === 'ran'

/**
 * Asks the endpoints of a class's last service what became of an idempotency key, where the service declares
 * the look-up. One that ran it, or runs it, settles the matter; that it did not run takes the word of every
 * endpoint, since each may speak for itself alone. Undefined where that is not to be had.
 */
export const keyLookUp = (options: KeyLookUpOptions): KeyLookUp => async ({ service, class: classId, key }) => {
  const config = options.config()
  if (config.services.get(service)?.statusLookup !== true) return undefined
  const endpoints = options.pool.snapshot().map(({ endpoint }) => endpoint).filter((endpoint) => endpoint.service === service)
  const answers = await Promise.all(endpoints.map((endpoint) => options.access.lookUp(endpoint, key)))
  const statuses = answers.flatMap((answer) => answer.isOk ? [answer.value] : [])
  const begun = statuses.find(({ kind }) => kind === 'ran') ?? statuses.find(({ kind }) => kind === 'running')
  const status = begun ?? (statuses.length === endpoints.length ? statuses[0] : undefined)
  return status !== undefined && speaksForAll(status, stageCount(config, classId)) ? status : undefined
}

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

/** If the last of several stages did not run, the stages before it may still have run. */
const coversAllStages = (status: KeyStatus, stages: number): boolean => stages === 1 || status.kind === 'ran'

/**
 * Looks up an idempotency key at the endpoints of the service of a class's last stage, if the service declares the
 * look-up. One endpoint that ran or runs the key decides; "not run" requires that every endpoint reports it, since an
 * endpoint may know only its own calls. Undefined otherwise.
 */
export const keyLookUp = (options: KeyLookUpOptions): KeyLookUp => async ({ service, class: classId, key }) => {
  const config = options.config()
  if (config.services.get(service)?.statusLookup !== true) return undefined
  const endpoints = options.pool.snapshot().map(({ endpoint }) => endpoint).filter((endpoint) => endpoint.service === service)
  const answers = await Promise.all(endpoints.map((endpoint) => options.access.lookUp(endpoint, key)))
  const statuses = answers.flatMap((answer) => answer.isOk ? [answer.value] : [])
  const started = statuses.find(({ kind }) => kind === 'ran') ?? statuses.find(({ kind }) => kind === 'running')
  const status = started ?? (statuses.length === endpoints.length ? statuses[0] : undefined)
  return status !== undefined && coversAllStages(status, stageCount(config, classId)) ? status : undefined
}

import { readFileSync } from 'node:fs'
import { brand } from '@papayahill/common'
import type { ClassId, DomainId, ServiceId, VersionId, WorkspaceId } from '@papayahill/common'
import { formatFault, parseOperatorConfig } from '@papayahill/settings'
import type { OperatorConfig } from '@papayahill/settings'
import type { DeploymentPlan, EndpointPlan } from './types.js'

export type DeploymentName = 'consorcio' | 'trade-office'

/** A workspace and class to send requests to, with the service of the last stage. */
export interface SampleClass {
  readonly workspace: WorkspaceId
  readonly class: ClassId
  readonly service: ServiceId
}

/** A deployment at its current size, with the classes that the golden sessions use. */
export interface Deployment {
  readonly name: DeploymentName
  readonly plan: DeploymentPlan
  /** A streamed class whose pipeline ends at a model engine. */
  readonly streamed: SampleClass
  /** A class whose requests must run at most once. */
  readonly once: SampleClass
  /** The class with the tightest target. */
  readonly read: SampleClass
}

const REPLICAS: Readonly<Record<DeploymentName, Readonly<Record<string, number>>>> = {
  consorcio: { assistant: 6 },
  'trade-office': { 'language-model': 8 }
}

const DEFAULT_REPLICAS = 4
const DEFAULT_INSTANCES = 3

const sampleClass = (workspace: string, classId: string, service: string): SampleClass => ({
  workspace: brand<WorkspaceId>(workspace), class: brand<ClassId>(classId), service: brand<ServiceId>(service)
})

const SAMPLES: Readonly<Record<DeploymentName, Pick<Deployment, 'streamed' | 'once' | 'read'>>> = {
  consorcio: {
    streamed: sampleClass('schools', 'build-guide', 'assistant'),
    once: sampleClass('dealers', 'wholesale-order', 'orders'),
    read: sampleClass('dealers', 'stock-lookup', 'storefronts')
  },
  'trade-office': {
    streamed: sampleClass('clerks', 'permit-summary', 'language-model'),
    once: sampleClass('vendors', 'pitch-booking', 'booking'),
    read: sampleClass('vendors', 'rota-read', 'vendor-roll')
  }
}

/** Reads one of the example configurations in `examples/`. */
export const readExample = (name: DeploymentName): OperatorConfig => {
  const file = `${name}.toml`
  const text = readFileSync(new URL(`../../../examples/${file}`, import.meta.url), 'utf8')
  const config = parseOperatorConfig(text, file)
  if (config.isErr) throw new Error(config.error.map(formatFault).join('\n'))
  return config.value
}

/** Distributes `count` endpoints of a service evenly over the failure domains. */
export const spreadOver = (
  config: OperatorConfig, service: ServiceId, version: VersionId, count: number, isWarm: boolean
): readonly EndpointPlan[] => {
  const domains = [...config.domains.keys()]
  const kind = config.services.get(service)?.kind ?? 'plain'
  const countIn = (index: number): number => Math.floor(count / domains.length) + (index < count % domains.length ? 1 : 0)
  return domains
    .map((domain: DomainId, index): EndpointPlan => ({ service, kind, version, domain, count: countIn(index), isWarm }))
    .filter((plan) => plan.count > 0)
}

/**
 * One of the two example deployments at its current size.
 *
 * @example
 * const testbed = new Testbed(deployment('consorcio').plan, 1)
 */
export const deployment = (name: DeploymentName, instances = DEFAULT_INSTANCES): Deployment => {
  const config = readExample(name)
  const endpoints = [...config.services.values()].flatMap((service) =>
    spreadOver(config, service.id, service.version, REPLICAS[name][service.id] ?? DEFAULT_REPLICAS, true))
  return { name, plan: { config, endpoints, instances }, ...SAMPLES[name] }
}

import { brand, isJsonObject } from '@papayahill/common'
import type { DomainId, Json, JsonObject, ServiceId, VersionId } from '@papayahill/common'
import type { ConfigChange, ConfigView } from '@papayahill/control'
import {
  checkConfig, decodeBudget, decodeClass, decodeConfig, decodeDomain, decodePipeline, decodeService, decodeWorkspace, formatFault
} from '@papayahill/settings'
import type { OperatorConfig, SettingsFault } from '@papayahill/settings'
import { Result } from 'true-myth'

type ReadResult = Result<ConfigChange, string>

const formatFaults = (faults: readonly SettingsFault[]): string => faults.map(formatFault).join('; ')

/** Keeps the state that commands set: an applied file contains neither domains out, nor moves, nor versions in use. */
const keepOperationalState = (config: OperatorConfig, inForce: OperatorConfig): OperatorConfig => ({
  ...config,
  services: new Map([...config.services].map(([id, service]) =>
    [id, { ...service, version: inForce.services.get(id)?.version ?? service.version }])),
  domainsOut: new Set([...inForce.domainsOut].filter((domain) => config.domains.has(domain))),
  moves: new Map([...inForce.moves].filter(([service]) => config.services.has(service)))
})

const readReplace = (json: JsonObject, view: ConfigView): ReadResult => {
  const decoded = decodeConfig(json.config ?? null, 'config')
  if (decoded.isErr) return Result.err(formatFaults(decoded.error))
  const faults = checkConfig(decoded.value, 'config')
  if (faults.length > 0) return Result.err(formatFaults(faults))
  return Result.ok({ kind: 'replace', config: keepOperationalState(decoded.value, view.config) })
}

const readName = <Kind extends string, Field extends string, Name extends string>(
  json: JsonObject, kind: Kind, field: Field, change: (name: Name) => ConfigChange
): ReadResult => {
  const name = json[field]
  return typeof name === 'string' ? Result.ok(change(name as Name)) : Result.err(`${kind} needs ${field}`)
}

const readBudgets = (json: JsonObject): ReadResult => {
  if (!Array.isArray(json.budgets)) return Result.err('put-budgets needs a list of budgets')
  const decoded = (json.budgets as readonly Json[]).map(decodeBudget)
  const faults = decoded.flatMap((each) => each.isErr ? each.error : [])
  if (faults.length > 0) return Result.err(formatFaults(faults))
  return Result.ok({ kind: 'put-budgets', budgets: decoded.flatMap((each) => each.isOk ? [each.value] : []) })
}

const readMoveStart = (json: JsonObject): ReadResult => {
  const { service, to, by } = json
  if (typeof service !== 'string' || typeof to !== 'string' || typeof by !== 'number') {
    return Result.err('move-start needs service, to and by (milliseconds since 1970 UTC)')
  }
  return Result.ok({ kind: 'move-start', move: { service: brand<ServiceId>(service), to: brand<VersionId>(to), by } })
}

/** Reader of each kind of change; operators may not send `move-done`. */
const READERS: Readonly<Partial<Record<ConfigChange['kind'], (json: JsonObject, view: ConfigView) => ReadResult>>> = {
  replace: readReplace,
  'put-service': (json) => decodeService(json.service ?? null).mapErr(formatFaults).map((service) => ({ kind: 'put-service', service })),
  'put-pipeline': (json) => decodePipeline(json.pipeline ?? null).mapErr(formatFaults).map((pipeline) => ({ kind: 'put-pipeline', pipeline })),
  'put-class': (json) => decodeClass(json.class ?? null).mapErr(formatFaults).map((cfg) => ({ kind: 'put-class', class: cfg })),
  'put-workspace': (json) =>
    decodeWorkspace(json.workspace ?? null).mapErr(formatFaults).map((workspace) => ({ kind: 'put-workspace', workspace })),
  'put-domain': (json) => decodeDomain(json.domain ?? null).mapErr(formatFaults).map((domain) => ({ kind: 'put-domain', domain })),
  'put-budgets': readBudgets,
  'domain-out': (json) => readName(json, 'domain-out', 'domain', (domain: DomainId) => ({ kind: 'domain-out', domain })),
  'domain-in': (json) => readName(json, 'domain-in', 'domain', (domain: DomainId) => ({ kind: 'domain-in', domain })),
  'move-start': readMoveStart,
  'move-stop': (json) => readName(json, 'move-stop', 'service', (service: ServiceId) => ({ kind: 'move-stop', service }))
}

/** Decodes one change sent by an operator; the error is a message for the operator. */
export const readChange = (json: Json, view: ConfigView): ReadResult => {
  if (!isJsonObject(json)) return Result.err('a change must be an object with kind')
  const reader = READERS[json.kind as ConfigChange['kind']]
  if (reader === undefined) return Result.err(`unknown kind of change; allowed: ${Object.keys(READERS).join(', ')}`)
  return reader(json, view)
}

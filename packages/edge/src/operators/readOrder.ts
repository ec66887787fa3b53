import { brand, isJsonObject } from '@papayahill/common'
import type { EndpointId, JsonObject, ServiceId } from '@papayahill/common'
import type { EntryInstance } from '@papayahill/instance'
import { Result } from 'true-myth'

type OrderAction = Parameters<EntryInstance['orders']['issue']>[2]

export interface OrderInput {
  readonly service: ServiceId
  readonly endpoint: EndpointId
  readonly action: OrderAction
}

/** Field that carries the name in each kind of order. */
const NAME_FIELDS: Readonly<Record<OrderAction['kind'], string>> = {
  'load-model': 'model', 'load-adapter': 'adapter', 'load-version': 'version', 'change-role': 'role'
}

const readAction = (action: JsonObject): OrderAction | undefined => {
  const field = NAME_FIELDS[action.kind as OrderAction['kind']]
  const value = field === undefined ? undefined : action[field]
  return typeof value === 'string' ? { kind: action.kind, [field]: value } as unknown as OrderAction : undefined
}

/** Decodes an order to an endpoint; the error is a message for the operator. */
export const readOrder = ({ service, endpoint, action }: JsonObject): Result<OrderInput, string> => {
  if (typeof service !== 'string' || typeof endpoint !== 'string') return Result.err('an order needs service and endpoint')
  const read = action !== undefined && isJsonObject(action) ? readAction(action) : undefined
  if (read === undefined) return Result.err(`the action of an order must be one of ${Object.keys(NAME_FIELDS).join(', ')}, with its name`)
  return Result.ok({ service: brand<ServiceId>(service), endpoint: brand<EndpointId>(endpoint), action: read })
}

import { brand, epochMillis, isJsonObject } from '@papayahill/common'
import type { EndpointId, Json } from '@papayahill/common'
import { MAX_PART_LENGTH, MAX_REPORTED_PARTS, MAX_REPORTED_REQUESTS } from './constants.js'
import type { CrashReport, PartId, Quarantine, QuarantineOrder, RequestParts, ScopeId } from './types.js'

/** Answers have begun on parts that another instance suspects, so that they crash nothing. */
export interface BegunNotice {
  readonly scope: ScopeId
  readonly parts: readonly PartId[]
}

/** What instances tell each other. */
export type QuarantineMessage =
  | { readonly kind: 'crash', readonly report: CrashReport }
  | { readonly kind: 'begun', readonly notice: BegunNotice }
  | { readonly kind: 'quarantine', readonly quarantine: Quarantine }
  | { readonly kind: 'order', readonly order: QuarantineOrder }

type MessageOf<Kind extends QuarantineMessage['kind']> = Extract<QuarantineMessage, { kind: Kind }>

const ENCODERS: { readonly [Kind in QuarantineMessage['kind']]: (message: MessageOf<Kind>) => Json } = {
  crash: ({ report: { scope, endpoint, incarnation, at, requests } }) =>
    ({ scope, endpoint, life: incarnation, at, requests: requests.map((parts) => [...parts]) }),
  begun: ({ notice: { scope, parts } }) => ({ scope, parts: [...parts] }),
  quarantine: ({ quarantine: { scope, parts, crashes, lastCrashAt, failedTrials, endpoints } }) =>
    ({ scope, parts: [...parts], crashes, at: lastCrashAt, trials: failedTrials, endpoints: [...endpoints] }),
  order: ({ order: { scope, parts, action, by, at } }) => ({ scope, parts: [...parts], action, by, at })
}

/**
 * Encodes a message between instances.
 *
 * @example
 * encodeMessage({ kind: 'begun', notice }) // { kind: 'begun', scope: 'pool v1', parts: ['a'] }
 */
export const encodeMessage = <Kind extends QuarantineMessage['kind']>(message: MessageOf<Kind>): Json => {
  const encode = ENCODERS[message.kind] as (message: QuarantineMessage) => Record<string, Json>
  return { kind: message.kind, ...encode(message) }
}

const partsIn = (value: Json | undefined, most: number): readonly PartId[] | undefined => {
  if (!Array.isArray(value) || value.length > most) return undefined
  const isPart = (part: Json): part is string => typeof part === 'string' && part.length <= MAX_PART_LENGTH
  return value.every(isPart) ? value.map((part) => brand<PartId>(part)) : undefined
}

const requestsIn = (value: Json | undefined): readonly RequestParts[] | undefined => {
  if (!Array.isArray(value) || value.length > MAX_REPORTED_REQUESTS) return undefined
  const requests = value.map((parts) => partsIn(parts, MAX_REPORTED_PARTS))
  return requests.every((parts) => parts !== undefined) ? requests : undefined
}

const isCount = (value: Json | undefined): value is number => Number.isSafeInteger(value) && Number(value) >= 0

type Fields = Readonly<Record<string, Json | undefined>>

const DECODERS: Readonly<Record<QuarantineMessage['kind'], (fields: Fields, scope: ScopeId) => QuarantineMessage | undefined>> = {
  crash: ({ endpoint, life, at, requests: encoded }, scope) => {
    const requests = requestsIn(encoded)
    if (typeof endpoint !== 'string' || typeof life !== 'string' || !isCount(at) || requests === undefined) return undefined
    return { kind: 'crash', report: { scope, endpoint: brand<EndpointId>(endpoint), incarnation: life, at: epochMillis(at), requests } }
  },
  begun: ({ parts: encoded }, scope) => {
    const parts = partsIn(encoded, MAX_REPORTED_REQUESTS * MAX_REPORTED_PARTS)
    return parts === undefined ? undefined : { kind: 'begun', notice: { scope, parts } }
  },
  quarantine: ({ parts: encoded, crashes, at, trials, endpoints }, scope) => {
    const parts = partsIn(encoded, MAX_REPORTED_PARTS)
    if (parts === undefined || parts.length === 0 || !isCount(crashes) || !isCount(at) || !isCount(trials)) return undefined
    const named = Array.isArray(endpoints) ? endpoints.filter((id) => typeof id === 'string').map((id) => brand<EndpointId>(id)) : []
    const quarantine: Quarantine = { scope, parts, crashes, lastCrashAt: epochMillis(at), failedTrials: trials, endpoints: named, source: 'peer' }
    return { kind: 'quarantine', quarantine }
  },
  order: ({ parts: encoded, action, by, at }, scope) => {
    const parts = partsIn(encoded, MAX_REPORTED_PARTS)
    const isAction = action === 'lift' || action === 'pin'
    if (parts === undefined || parts.length === 0 || !isAction || typeof by !== 'string' || !isCount(at)) return undefined
    return { kind: 'order', order: { scope, parts, action, by, at: epochMillis(at) } }
  }
}

const isKind = (kind: Json | undefined): kind is QuarantineMessage['kind'] => typeof kind === 'string' && Object.hasOwn(DECODERS, kind)

/** Decodes a message; undefined if it is malformed or of a kind that this version does not know. */
export const decodeMessage = (value: Json): QuarantineMessage | undefined => {
  if (!isJsonObject(value)) return undefined
  const { kind, scope } = value
  if (!isKind(kind) || typeof scope !== 'string') return undefined
  return DECODERS[kind](value, brand<ScopeId>(scope))
}

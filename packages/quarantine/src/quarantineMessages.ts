import { brand, epochMillis, millis } from '@papayahill/common'
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

/** Kinds of messages; each is sent as its index here, followed by its fields in order. */
const KINDS: ReadonlyArray<QuarantineMessage['kind']> = ['crash', 'begun', 'quarantine', 'order']

const ENCODERS: { readonly [Kind in QuarantineMessage['kind']]: (message: MessageOf<Kind>) => readonly Json[] } = {
  crash: ({ report: { scope, endpoint, incarnation, at, age, requests } }) =>
    [scope, endpoint, incarnation, Math.round(at), requests.map((parts) => [...parts]), Math.round(age)],
  begun: ({ notice: { scope, parts } }) => [scope, [...parts]],
  quarantine: ({ quarantine: { scope, parts, crashes, lastCrashAt, failedTrials, endpoints } }) =>
    [scope, [...parts], crashes, Math.round(lastCrashAt), failedTrials, [...endpoints]],
  order: ({ order: { scope, parts, action, by, at } }) => [scope, [...parts], action, by, Math.round(at)]
}

/**
 * Encodes a message between instances.
 *
 * @example
 * encodeMessage({ kind: 'begun', notice }) // [1, 'pool v1 m', ['a']]
 */
export const encodeMessage = <Kind extends QuarantineMessage['kind']>(message: MessageOf<Kind>): Json => {
  const encode = ENCODERS[message.kind] as (message: QuarantineMessage) => readonly Json[]
  return [KINDS.indexOf(message.kind), ...encode(message)]
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

type Fields = ReadonlyArray<Json | undefined>

const DECODERS: Readonly<Record<QuarantineMessage['kind'], (fields: Fields, scope: ScopeId) => QuarantineMessage | undefined>> = {
  // Earlier versions tell each crash at once, and no age.
  crash: ([endpoint, life, at, encoded, age = 0], scope) => {
    const requests = requestsIn(encoded)
    if (typeof endpoint !== 'string' || typeof life !== 'string' || !isCount(at) || !isCount(age) || requests === undefined) return undefined
    const report = { scope, endpoint: brand<EndpointId>(endpoint), incarnation: life, at: epochMillis(at), age: millis(age), requests }
    return { kind: 'crash', report }
  },
  begun: ([encoded], scope) => {
    const parts = partsIn(encoded, MAX_REPORTED_REQUESTS * MAX_REPORTED_PARTS)
    return parts === undefined ? undefined : { kind: 'begun', notice: { scope, parts } }
  },
  quarantine: ([encoded, crashes, at, trials, endpoints], scope) => {
    const parts = partsIn(encoded, MAX_REPORTED_PARTS)
    if (parts === undefined || parts.length === 0 || !isCount(crashes) || !isCount(at) || !isCount(trials)) return undefined
    const named = Array.isArray(endpoints) ? endpoints.filter((id) => typeof id === 'string').map((id) => brand<EndpointId>(id)) : []
    const quarantine: Quarantine = { scope, parts, crashes, lastCrashAt: epochMillis(at), failedTrials: trials, endpoints: named, source: 'peer' }
    return { kind: 'quarantine', quarantine }
  },
  order: ([encoded, action, by, at], scope) => {
    const parts = partsIn(encoded, MAX_REPORTED_PARTS)
    const isAction = action === 'lift' || action === 'pin'
    if (parts === undefined || parts.length === 0 || !isAction || typeof by !== 'string' || !isCount(at)) return undefined
    return { kind: 'order', order: { scope, parts, action, by, at: epochMillis(at) } }
  }
}

/** Decodes a message; undefined if it is malformed or of a kind that this version does not know. */
export const decodeMessage = (value: Json): QuarantineMessage | undefined => {
  if (!Array.isArray(value)) return undefined
  const [index, scope, ...fields] = value as readonly Json[]
  const kind = KINDS[Number(index)]
  if (kind === undefined || typeof scope !== 'string') return undefined
  return DECODERS[kind](fields, brand<ScopeId>(scope))
}

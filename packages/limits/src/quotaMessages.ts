import { brand, isJsonObject, millis } from '@papayahill/common'
import type { EndpointId, Json, Millis } from '@papayahill/common'
import { decodeLimitNotice } from '@papayahill/directory'
import type { LimitNotice } from '@papayahill/directory'

/** A request for one token of an endpoint's incarnation, with the limit that the asker knows. */
export interface TokenRequest {
  readonly endpoint: EndpointId
  readonly incarnation: string
  readonly limit: LimitNotice
}

export type TokenOutcome =
  | { readonly kind: 'lent' }
  /** No token is available; the asker should wait before it asks again. */
  | { readonly kind: 'denied', readonly retryIn: Millis }

/** The outcome, with the limit that the holder knows; undefined where it knows none. */
export type TokenAnswer = TokenOutcome & { readonly limit: LimitNotice | undefined }

const encodeLimit = ({ perSecond, version }: LimitNotice): Json => ({ perSecond, version })

export const encodeTokenRequest = ({ endpoint, incarnation, limit }: TokenRequest): Json => [endpoint, incarnation, encodeLimit(limit)]

/** Decodes a request; undefined if it is malformed. */
export const decodeTokenRequest = (message: Json): TokenRequest | undefined => {
  if (!Array.isArray(message)) return undefined
  const [endpoint, incarnation, encodedLimit] = message
  const limit = decodeLimitNotice(encodedLimit)
  if (typeof endpoint !== 'string' || typeof incarnation !== 'string' || limit === undefined) return undefined
  return { endpoint: brand<EndpointId>(endpoint), incarnation, limit }
}

export const encodeTokenAnswer = (answer: TokenAnswer): Json => ({
  ...(answer.kind === 'lent' ? { lent: true } : { retryMs: Math.round(answer.retryIn) }),
  ...(answer.limit === undefined ? {} : { limit: encodeLimit(answer.limit) })
})

/** Decodes an answer; undefined if it is malformed. */
export const decodeTokenAnswer = (message: Json): TokenAnswer | undefined => {
  if (!isJsonObject(message)) return undefined
  const { lent, retryMs, limit: encodedLimit } = message
  const limit = decodeLimitNotice(encodedLimit)
  if (lent === true) return { kind: 'lent', limit }
  const isDenied = typeof retryMs === 'number' && Number.isFinite(retryMs) && retryMs >= 0
  return isDenied ? { kind: 'denied', retryIn: millis(retryMs), limit } : undefined
}

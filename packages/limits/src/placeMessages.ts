import { brand, isJsonObject, millis } from '@papayahill/common'
import type { EndpointId, Json, Millis } from '@papayahill/common'

/** A request for one place at a brittle endpoint's incarnation, or the return of the place lent under a number. */
export interface PlaceMessage {
  readonly endpoint: EndpointId
  readonly incarnation: string
  /** Undefined in a request. */
  readonly returned: number | undefined
}

/** A place that is lent for a time, counted from the request. */
export interface PlaceLoan {
  readonly id: number
  readonly lentFor: Millis
}

export const encodePlaceMessage = ({ endpoint, incarnation, returned }: PlaceMessage): Json =>
  returned === undefined ? [endpoint, incarnation] : [endpoint, incarnation, returned]

/** Decodes a message; undefined if it is malformed, or a request for a token, whose third part is a limit. */
export const decodePlaceMessage = (message: Json): PlaceMessage | undefined => {
  if (!Array.isArray(message)) return undefined
  const [endpoint, incarnation, returned] = message
  if (typeof endpoint !== 'string' || typeof incarnation !== 'string') return undefined
  if (returned !== undefined && typeof returned !== 'number') return undefined
  return { endpoint: brand<EndpointId>(endpoint), incarnation, returned }
}

export const encodePlaceLoan = (loan: PlaceLoan | undefined): Json =>
  loan === undefined ? {} : { id: loan.id, ms: Math.floor(loan.lentFor) }

/** Decodes an answer; undefined if no place is lent or it is malformed. */
export const decodePlaceLoan = (message: Json): PlaceLoan | undefined => {
  if (!isJsonObject(message)) return undefined
  const { id, ms } = message
  const isLoan = typeof id === 'number' && typeof ms === 'number' && Number.isFinite(ms) && ms > 0
  return isLoan ? { id, lentFor: millis(ms) } : undefined
}

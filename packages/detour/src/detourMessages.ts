import { isJsonObject } from '@papayahill/common'
import type { Json, JsonObject } from '@papayahill/common'
import type { DetourMessage, OfferAnswer, Part } from './types.js'

/** Messages carry no binary values, so bytes are sent as text that is right for each of their values. */
const ENCODING = 'base64'

type Fields = Readonly<Record<string, unknown>>

/** Leaves out fields that are not set. */
const packFields = (fields: Fields): JsonObject =>
  Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined)) as JsonObject

const packPart = (part: Part): JsonObject =>
  'bytes' in part ? { ...part, bytes: part.bytes.toString(ENCODING) } : packFields(part)

const unpackPart = (packed: JsonObject): Part =>
  (typeof packed.bytes === 'string' ? { ...packed, bytes: Buffer.from(packed.bytes, ENCODING) } : packed) as unknown as Part

/**
 * Encodes a message.
 *
 * @example
 * packMessage({ kind: 'cancel', id })
 */
export const packMessage = (message: DetourMessage): Json => {
  switch (message.kind) {
    case 'offer': return { ...message, offer: packFields(message.offer as unknown as Fields) }
    case 'part': return { ...message, part: packPart(message.part) }
    case 'confirm':
    case 'cancel': return { ...message }
  }
}

/** Decodes a message; undefined if it is none. */
export const unpackMessage = (packed: Json): DetourMessage | undefined => {
  if (!isJsonObject(packed) || typeof packed.id !== 'string') return undefined
  if (packed.kind === 'part' && isJsonObject(packed.part as Json)) {
    return { ...packed, part: unpackPart(packed.part as JsonObject) } as unknown as DetourMessage
  }
  return packed as unknown as DetourMessage
}

export const packOfferAnswer = (answer: OfferAnswer): Json => packFields(answer)

/** Decodes the answer to an offer; anything else is an answer of a version that knows no detours. */
export const unpackOfferAnswer = (packed: Json): OfferAnswer => {
  const isAnswer = isJsonObject(packed) && typeof packed.isTaken === 'boolean'
  return isAnswer ? packed as unknown as OfferAnswer : { isTaken: false, detail: 'the peer gave no answer', retryAfter: undefined }
}

import { brand, copyText, hash64 } from '@papayahill/common'
import { MAX_PART_LENGTH } from './constants.js'
import type { PartId } from './types.js'

/** Begins the ids of whole requests. */
const WHOLE = '='

/**
 * The id under which a whole request is remembered, by a fingerprint that nobody can make up for another caller's.
 *
 * @example
 * wholeIdOf('q1Lr0cVh2xk9') // '=q1Lr0cVh2xk9'
 */
export const wholeIdOf = (fingerprint: string): PartId => brand<PartId>(WHOLE + fingerprint)

/**
 * Whether an id is that of a whole request.
 *
 * @example
 * isWhole(wholeIdOf('q1Lr0cVh2xk9')) // true
 */
export const isWhole = (part: PartId): boolean => part.startsWith(WHOLE)

/**
 * The id under which a part is remembered; callers choose the text, so that a long one, or one like that of a whole request,
 * is replaced by its hash.
 *
 * @example
 * partIdOf('5c1e07a2') // '5c1e07a2'
 */
export const partIdOf = (text: string): PartId =>
  brand<PartId>(text.length <= MAX_PART_LENGTH && !text.startsWith(WHOLE) ? copyText(text) : `#${hash64(text)}`)

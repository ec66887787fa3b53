import { brand, hash64 } from '@papayahill/common'
import { MAX_PART_LENGTH } from './constants.js'
import type { PartId } from './types.js'

/** A copy without a share in the text that it was cut out of: V8 keeps the whole text as long as a slice of it is kept. */
const detached = (text: string): string => Buffer.from(text, 'utf8').toString('utf8')

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
 * is replaced by its hash. The id does not keep the header that it came in.
 *
 * @example
 * partIdOf('5c1e07a2') // '5c1e07a2'
 */
export const partIdOf = (text: string): PartId =>
  brand<PartId>(text.length <= MAX_PART_LENGTH && !text.startsWith(WHOLE) ? detached(text) : `#${hash64(text)}`)

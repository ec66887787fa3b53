import { brand, hash64 } from '@papayahill/common'
import { MAX_PART_LENGTH } from './constants.js'
import type { PartId } from './types.js'

/**
 * The id under which a part is remembered; callers choose the text, so that a long one is replaced by its hash.
 *
 * @example
 * partIdOf('5c1e07a2') // '5c1e07a2'
 */
export const partIdOf = (text: string): PartId => brand<PartId>(text.length <= MAX_PART_LENGTH ? text : `#${hash64(text)}`)

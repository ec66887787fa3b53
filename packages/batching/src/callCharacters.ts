import type { Piece } from './types.js'

/**
 * Length of what identifies a piece and its input in the body of a call. The pieces of an order share it, so that it is computed
 * once for all of them.
 *
 * @example
 * const callCharacters = callCharactersOf({ request, key, inputs })
 */
export const callCharactersOf = ({ request, key, inputs }: Pick<Piece, 'request' | 'key' | 'inputs'>): number =>
  jsonLength(request) + jsonLength(key ?? '') + inputs.reduce((sum, handle) => sum + jsonLength(handle), 0)

/** With quotes and escapes, which may be several times as long as the text. */
const jsonLength = (text: string): number => JSON.stringify(text).length

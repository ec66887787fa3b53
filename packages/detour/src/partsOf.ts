import { PART_BYTES } from './constants.js'

/**
 * Cuts bytes into pieces that fit into one part each; one empty piece if there are none.
 *
 * @example
 * partsOf(Buffer.alloc(70_000)).map(({ length }) => length) // [32_768, 32_768, 4_464]
 */
export const partsOf = (bytes: Buffer): readonly Buffer[] => {
  const count = Math.max(1, Math.ceil(bytes.length / PART_BYTES))
  return Array.from({ length: count }, (_none, at) => bytes.subarray(at * PART_BYTES, (at + 1) * PART_BYTES))
}

/** Header names and values, alternating, in the order in which they are sent. */
export type HeaderList = readonly string[]

/** Headers of an answer, keyed by lower-case names. */
export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>

/**
 * The first value of a header.
 *
 * @example
 * headerOf({ 'retry-after': '2' }, 'retry-after') // '2'
 */
export const headerOf = (headers: AnswerHeaders, name: string): string | undefined => {
  const value = headers[name]
  return Array.isArray(value) ? value[0] : value
}

/**
 * Whether an answer states where it ends, by a length or in chunks; one without ends with its connection.
 *
 * @example
 * isFramed({ 'content-length': '2' }) // true
 */
export const isFramed = (headers: AnswerHeaders): boolean =>
  headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined

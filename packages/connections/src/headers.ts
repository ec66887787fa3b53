/** Names and values of headers by turns, in the order in which they are sent. */
export type HeaderList = readonly string[]

/** An answer's headers by their names in lower case. */
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

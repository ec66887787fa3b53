/**
 * A copy of a text. The engine stores a part of a text as a reference into the whole, so that a short part that is kept for long
 * would keep, say, all headers that it was cut from.
 *
 * @example
 * copyText(header.slice(0, 32))
 */
export const copyText = (text: string): string => Buffer.from(text, 'utf16le').toString('utf16le')

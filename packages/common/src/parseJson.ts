import type { Json } from './json.js'

/** Deepest nesting of JSON from outside; encoders and comparisons recurse, and fail on some thousands. */
const MAX_JSON_DEPTH = 64
/** Most items of JSON from outside. An empty list or object of 3 bytes takes up to 70 bytes of heap, so that these take up to 18 MB. */
export const MAX_JSON_ITEMS = 262_144

const QUOTE = '"'
const BACKSLASH = '\\'

/** Position of the quote that ends the string which begins at `start`; the text's length if none does. */
const endOfString = (text: string, start: number): number => {
  for (let end = text.indexOf(QUOTE, start + 1); end >= 0; end = text.indexOf(QUOTE, end + 1)) {
    let escapes = 0
    while (text[end - escapes - 1] === BACKSLASH) escapes++
    if (escapes % 2 === 0) return end
  }
  return text.length
}

/** Reads the text once, whatever it holds; what is within strings does not count. */
const isWithinBounds = (text: string): boolean => {
  let depth = 0
  let items = 0
  for (let at = 0; at < text.length; at++) {
    switch (text[at]) {
      case QUOTE:
        at = endOfString(text, at)
        break
      case '[':
      case '{':
        depth++
        items++
        break
      case ']':
      case '}':
        depth--
        break
      case ',':
        items++
    }
    if (depth > MAX_JSON_DEPTH || items > MAX_JSON_ITEMS) return false
  }
  return true
}

/**
 * Parses a JSON text; undefined if it is none.
 *
 * @example
 * parseJson('{"a":1}') // { a: 1 }
 * parseJson('{a') // undefined
 */
export const parseJson = (text: string): Json | undefined => {
  try {
    return JSON.parse(text) as Json
  } catch {
    return undefined
  }
}

/**
 * Parses JSON from outside; undefined if it is none, nested so deep that it cannot be encoded again, or has so many items that they
 * would take far more memory than the text.
 *
 * @example
 * parseBoundedJson('['.repeat(9000) + ']'.repeat(9000)) // undefined
 */
export const parseBoundedJson = (text: string): Json | undefined => isWithinBounds(text) ? parseJson(text) : undefined

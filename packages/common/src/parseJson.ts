import type { Json } from './json.js'

/** Deepest nesting of JSON from outside; encoders and comparisons recurse, and fail on some thousands. */
const MAX_JSON_DEPTH = 64

const OPENING = new Set(['[', '{'])
const CLOSING = new Set([']', '}'])

/** Reads the text once, whatever it holds; brackets within strings do not count. */
const isNestedTooDeep = (text: string): boolean => {
  let depth = 0
  let isString = false
  for (let at = 0; at < text.length; at++) {
    const character = text[at]!
    if (isString && character === '\\') at++
    else if (character === '"') isString = !isString
    else if (!isString && OPENING.has(character)) depth++
    else if (!isString && CLOSING.has(character)) depth--
    if (depth > MAX_JSON_DEPTH) return true
  }
  return false
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
 * Parses JSON that is to be encoded again; undefined if it is none, or nested so deep that it cannot be.
 *
 * @example
 * parseShallowJson('['.repeat(9000) + ']'.repeat(9000)) // undefined
 */
export const parseShallowJson = (text: string): Json | undefined => isNestedTooDeep(text) ? undefined : parseJson(text)

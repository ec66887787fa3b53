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
 * Parses JSON that another program wrote; undefined if it is none, or nested so deep that it cannot be passed on.
 *
 * @example
 * parseJson('{"a":1}') // { a: 1 }
 * parseJson('[['.repeat(9000)) // undefined
 */
export const parseJson = (text: string): Json | undefined => {
  if (isNestedTooDeep(text)) return undefined
  try {
    return JSON.parse(text) as Json
  } catch {
    return undefined
  }
}

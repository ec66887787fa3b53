import { describe, expect, it } from 'vitest'
import { MAX_JSON_ITEMS, parseBoundedJson } from './parseJson.js'

const nested = (depth: number): string => '['.repeat(depth) + ']'.repeat(depth)

describe('parseBoundedJson', () => {
  it('parses what is JSON', () => {
    expect(parseBoundedJson('{"a":[1,"[[{"]}')).toEqual({ a: [1, '[[{'] })
    expect(parseBoundedJson(nested(64))).toBeDefined()
    expect(parseBoundedJson('["\\\\","\\"",1]')).toEqual(['\\', '"', 1])
  })

  it.each([['nested too deep', nested(65)], ['deep behind a string', `["\\"",${nested(64)}]`], ['no JSON', '{a'], ['empty', '']])(
    'rejects what is %s', (_what, text) => expect(parseBoundedJson(text)).toBeUndefined())

  // Guards against a text of a few megabytes whose values take hundreds of them.
  it('bounds the number of items, however they are nested, but not what is within strings', () => {
    expect(parseBoundedJson(`[${'0,'.repeat(MAX_JSON_ITEMS - 1)}0]`)).toHaveLength(MAX_JSON_ITEMS)
    expect(parseBoundedJson(`[${'0,'.repeat(MAX_JSON_ITEMS)}0]`)).toBeUndefined()
    expect(parseBoundedJson(`[${'{},'.repeat(MAX_JSON_ITEMS / 2)}0]`)).toBeUndefined()
    expect(parseBoundedJson(`["${'[,\\"{'.repeat(MAX_JSON_ITEMS)}"]`)).toBeDefined()
  })
})

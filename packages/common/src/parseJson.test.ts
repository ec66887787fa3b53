import { describe, expect, it } from 'vitest'
import { parseShallowJson } from './parseJson.js'

const nested = (depth: number): string => '['.repeat(depth) + ']'.repeat(depth)

describe('parseShallowJson', () => {
  it('parses what is JSON', () => {
    expect(parseShallowJson('{"a":[1,"[[{"]}')).toEqual({ a: [1, '[[{'] })
    expect(parseShallowJson(nested(64))).toBeDefined()
  })

  it.each([['nested too deep', nested(65)], ['deep behind a string', `["\\"",${nested(64)}]`], ['no JSON', '{a'], ['empty', '']])(
    'rejects what is %s', (_what, text) => expect(parseShallowJson(text)).toBeUndefined())
})

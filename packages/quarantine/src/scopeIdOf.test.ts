import { brand } from '@papayahill/common'
import type { ServiceId } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { isSameService, scopeIdOf } from './scopeIdOf.js'

const POOL = brand<ServiceId>('pool')
/** As long as the header of a request may be. */
const LONGEST = 16_000

describe('scopeIdOf', () => {
  it('names a service, its version and a model', () => {
    expect(scopeIdOf(POOL, 'v2', 'm')).toBe('pool v2 m')
    expect(isSameService(scopeIdOf(POOL, 'v2', 'm'), scopeIdOf(POOL, 'v1'))).toBe(true)
  })

  // Guards against names of models that fill the heap, since thousands of scopes with their parts are remembered.
  it('is short whatever name of a model a caller sends, and tells models apart', () => {
    const [one, other] = ['x', 'y'].map((end) => scopeIdOf(POOL, 'v2', 'm'.repeat(LONGEST) + end))
    expect(one!.length).toBeLessThan(200)
    expect(one).not.toBe(other)
  })
})

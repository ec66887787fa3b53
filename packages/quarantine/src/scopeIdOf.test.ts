import { brand } from '@papayahill/common'
import type { ServiceId } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { isSameService, scopeIdOf } from './scopeIdOf.js'

const SERVICE = brand<ServiceId>('pool')

describe('scopeIdOf', () => {
  it('names the model', () => {
    expect(scopeIdOf(SERVICE, 'v2', 'a-model')).toBe('pool v2 a-model')
  })

  // Guards against callers who fill the memory with scopes of thousands of long names.
  it('is short for names of any length, and still tells them apart', () => {
    const scopes = ['a', 'b'].map((end) => scopeIdOf(SERVICE, 'v2', `${'m'.repeat(16_000)}${end}`))
    expect(scopes[0]!.length).toBeLessThan(40)
    expect(scopes[0]).not.toBe(scopes[1])
    expect(isSameService(scopes[0]!, scopeIdOf(SERVICE, 'v1', 'm'))).toBe(true)
  })
})

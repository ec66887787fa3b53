import { brand } from '@papayahill/common'
import type { WorkspaceId } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { fingerprintOf } from './fingerprintOf.js'

const REQUEST = { workspace: brand<WorkspaceId>('norte'), method: 'POST', path: '/guide/7?x=1', body: Buffer.from('the body') }

describe('fingerprintOf', () => {
  it('is the same for a request that comes again', () => {
    expect(fingerprintOf({ ...REQUEST, body: Buffer.from('the body') })).toBe(fingerprintOf(REQUEST))
  })

  it.each([
    ['caller', { workspace: brand<WorkspaceId>('sur') }], ['missing caller', { workspace: undefined }], ['method', { method: 'PUT' }],
    ['path', { path: '/guide/7?x=2' }], ['body', { body: Buffer.from('the bodz') }], ['missing body', { body: undefined }]
  ])('differs with another %s', (_what, change) => {
    expect(fingerprintOf({ ...REQUEST, ...change })).not.toBe(fingerprintOf(REQUEST))
  })

  it('does not take what stands in the path for the body', () => {
    const longer = { ...REQUEST, path: '/guide/7?x=1"]the ', body: Buffer.from('body') }
    expect(fingerprintOf(longer)).not.toBe(fingerprintOf(REQUEST))
  })
})

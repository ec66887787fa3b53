import { brand, EventRecorder, millis, VirtualClock } from '@papayahill/common'
import type { EndpointId, ServiceId, DomainId } from '@papayahill/common'
import { EndpointDirectory } from '@papayahill/directory'
import { describe, expect, it } from 'vitest'
import { applyNotices } from './applyNotices.js'
import type { EndpointNotices } from './applyNotices.js'
import type { LimitStatement } from './types.js'

const ID = brand<EndpointId>('e1')
const SILENT: LimitStatement = { perSecond: undefined, isReadable: true, found: undefined }
const UNREADABLE: LimitStatement = { perSecond: undefined, isReadable: false, found: 'NaN' }

const newRig = () => {
  const clock = new VirtualClock()
  const log = new EventRecorder(clock)
  const directory = new EndpointDirectory({ clock, log, isDomainOut: () => false })
  const record = {
    id: ID,
    service: brand<ServiceId>('pool'),
    address: { ip: '10.0.0.1', port: 80 },
    domain: brand<DomainId>('hall-1'),
    version: 'v1',
    slots: 4,
    isDraining: false,
    coldFor: millis(0),
    sequence: 1,
    startedAt: undefined
  }
  directory.changed([{ key: ID, revision: 1, value: { record } }], millis(0))
  const endpoint = directory.get(ID) ?? expect.fail('not known')
  const answer = (rejectionLimit: LimitStatement, isAuthentic = true): void => {
    const notices: EndpointNotices = {
      isOtherEndpoint: false, load: undefined, coldFor: undefined, isLeaving: false, retryAfter: undefined, limit: SILENT, rejectionLimit
    }
    applyNotices({ clock, log, directory }, endpoint, notices, { sentAt: clock.now(), isAuthentic })
  }
  return { clock, log, endpoint, answer }
}

describe('applyNotices', () => {
  describe('of an endpoint that is brittle', () => {
    it('learns it from an authentic answer only', () => {
      const { endpoint, answer } = newRig()
      answer({ perSecond: 2, isReadable: true, found: undefined }, false)
      expect(endpoint.isBrittle).toBe(false)
      answer({ perSecond: 2, isReadable: true, found: undefined })
      expect(endpoint.isBrittle).toBe(true)
    })

    it('takes nothing from a malformed number, and logs it once', async () => {
      const { clock, log, endpoint, answer } = newRig()
      answer({ perSecond: 2, isReadable: true, found: undefined })
      for (let count = 0; count < 5; count++) {
        await clock.advance(millis(10))
        answer(UNREADABLE)
      }
      expect(endpoint.rejectionLimit?.perSecond).toBe(2)
      expect(log.records.filter(({ kind }) => kind.name === 'rejectionLimitMalformed')).toHaveLength(1)
    })
  })
})

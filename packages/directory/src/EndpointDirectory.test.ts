import { brand, epochMillis, EventRecorder, millis, VirtualClock } from '@papayahill/common'
import type { DomainId, EndpointId, ServiceId } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { EndpointDirectory } from './EndpointDirectory.js'
import type { EndpointEntry } from './EndpointDirectory.js'
import { endpointRow, ROW_SERVICE } from './testing/endpointRow.js'
import type { TableRow } from './types.js'

const NO_OUTAGE = millis(0)
const OUTAGE = millis(4000)

const gone = (key: string): TableRow<EndpointEntry> => ({ key, value: undefined, revision: 2 })

const rig = () => {
  const clock = new VirtualClock()
  const out = new Set<string>()
  const log = new EventRecorder(clock)
  const directory = new EndpointDirectory({ clock, log, isDomainOut: (domain) => out.has(domain) })
  const usable = (): readonly string[] => directory.usable(ROW_SERVICE).map(({ id }) => id)
  return { clock, directory, log, out, usable }
}

describe('EndpointDirectory', () => {
  describe('usable endpoints', () => {
    it('exclude endpoints that are leaving, gone, or in a domain that is out', () => {
      const { directory, out, usable } = rig()
      directory.replaced([endpointRow('a'), endpointRow('b'), endpointRow('c', { domain: brand<DomainId>('hall-2') })], NO_OUTAGE)
      expect(usable()).toEqual(['a', 'b', 'c'])
      directory.changed([endpointRow('a', { isDraining: true, sequence: 4 }), gone('b')], NO_OUTAGE)
      expect(usable()).toEqual(['c'])
      out.add('hall-2')
      expect(usable()).toEqual([])
    })

    it('exclude a malformed entry and keep the others', () => {
      const { directory, usable } = rig()
      directory.replaced([endpointRow('a'), { key: 'b', value: { malformed: 'slots: found "x"' }, revision: 1 }], NO_OUTAGE)
      expect(usable()).toEqual(['a'])
    })
  })

  // Guards against a directory that goes through all services that configurations have ever named.
  it('does not keep services whose endpoints are all gone', () => {
    const { directory } = rig()
    for (let at = 0; at < 100; at++) {
      directory.changed([endpointRow(`e${at}`, { service: brand<ServiceId>(`orders-${at}`) })], NO_OUTAGE)
      directory.changed([gone(`e${at}`)], NO_OUTAGE)
    }
    directory.changed([endpointRow('a')], NO_OUTAGE)
    expect(directory.services).toEqual([ROW_SERVICE])
  })

  describe('records of one endpoint', () => {
    it('ignores an older record of the same incarnation, so that a leaving endpoint does not return', () => {
      const { directory, usable } = rig()
      directory.replaced([endpointRow('a', { isDraining: true, sequence: 5 })], NO_OUTAGE)
      directory.changed([endpointRow('a', { sequence: 4 })], NO_OUTAGE)
      expect(usable()).toEqual([])
    })

    it('treats a restart under the same id as a new incarnation without history', () => {
      const { directory, usable } = rig()
      const ended: string[] = []
      directory.onGone(({ id }) => { ended.push(id) })
      directory.replaced([endpointRow('a', { isDraining: true, sequence: 9 })], NO_OUTAGE)
      const before = directory.get(brand<EndpointId>('a'))
      directory.changed([endpointRow('a', { sequence: 1, startedAt: epochMillis(2000) })], NO_OUTAGE)
      expect(usable()).toEqual(['a'])
      expect(ended).toEqual(['a'])
      expect(before?.isGone).toBe(true)
    })
  })

  describe('after an outage of the store', () => {
    it('keeps missing endpoints for the time in which live ones register again, and no longer', async () => {
      const { clock, directory, usable } = rig()
      directory.replaced([endpointRow('a'), endpointRow('b')], NO_OUTAGE)
      directory.changed([gone('a'), gone('b')], OUTAGE)
      expect(usable()).toEqual(['a', 'b'])
      await clock.advance(millis(1500))
      directory.changed([endpointRow('b', { sequence: 4 })], NO_OUTAGE)
      await clock.advance(millis(600))
      expect(usable()).toEqual(['b'])
    })

    it('drops missing endpoints at once if there was no outage', () => {
      const { directory, usable } = rig()
      directory.replaced([endpointRow('a'), endpointRow('b')], NO_OUTAGE)
      directory.replaced([endpointRow('b')], NO_OUTAGE)
      expect(usable()).toEqual(['b'])
    })
  })

  describe('health', () => {
    it('avoids endpoints with failed connections while others are left, and tries them again', async () => {
      const { clock, directory } = rig()
      directory.replaced([endpointRow('a'), endpointRow('b')], NO_OUTAGE)
      const [a, b] = directory.usable(ROW_SERVICE)
      const healthy = (): readonly string[] => directory.healthy(ROW_SERVICE).map(({ id }) => id)
      a!.noteConnectionFailure(clock.now())
      expect(healthy()).toEqual(['b'])
      b!.noteConnectionFailure(clock.now())
      expect(healthy()).toEqual(['a', 'b'])
      await clock.advance(millis(500))
      expect(healthy()).toEqual(['a', 'b'])
    })

    it('avoids an endpoint no longer whose failures were those of this instance\'s own paths', async () => {
      const { clock, directory } = rig()
      directory.replaced([endpointRow('a'), endpointRow('b')], NO_OUTAGE)
      const [a] = directory.usable(ROW_SERVICE)
      for (let at = 0; at < 5; at++) {
        a!.noteConnectionFailure(clock.now())
        await clock.advance(millis(1000))
      }
      a!.noteConnectionFailure(clock.now())
      expect(directory.healthy(ROW_SERVICE).length).toBe(1)
      a!.forgetConnectionFailures()
      expect(directory.healthy(ROW_SERVICE).length).toBe(2)
      expect(a!.failShare).toBe(0)
    })

    it('logs when an endpoint starts and stops being avoided', () => {
      const { clock, directory, log } = rig()
      directory.replaced([endpointRow('a'), endpointRow('b')], NO_OUTAGE)
      const [a] = directory.usable(ROW_SERVICE)
      a!.noteConnectionFailure(clock.now())
      a!.noteAnswer(true, clock.now())
      a!.noteAnswer(true, clock.now())
      const names = log.records.map(({ kind }) => kind.name).filter((name) => name !== 'endpointSeen')
      expect(names).toEqual(['endpointSuspected', 'endpointTrusted'])
    })

    it('drops a missing endpoint in time, though other instances report outages repeatedly', async () => {
      const { clock, directory, usable } = rig()
      directory.replaced([endpointRow('a'), endpointRow('b')], NO_OUTAGE)
      directory.changed([gone('a')], OUTAGE)
      for (let round = 0; round < 3; round++) {
        await clock.advance(millis(900))
        directory.changed([endpointRow('b', { sequence: 4 + round })], OUTAGE)
      }
      expect(usable()).toEqual(['b'])
    })

    it('excludes endpoints that back off while others are left, even suspected ones', async () => {
      const { clock, directory } = rig()
      directory.replaced([endpointRow('a'), endpointRow('b')], NO_OUTAGE)
      const [a, b] = directory.usable(ROW_SERVICE)
      const healthy = (): readonly string[] => directory.healthy(ROW_SERVICE).map(({ id }) => id)
      a!.noteConnectionFailure(clock.now())
      directory.noteBackoff(b!, millis(300))
      expect(healthy()).toEqual(['a'])
      expect(a!.backoffLeft(clock.now())).toBe(0)
      directory.noteBackoff(a!, millis(200))
      expect(healthy()).toEqual(['b'])
      expect([a, b].map((endpoint) => endpoint!.backoffLeft(clock.now()))).toEqual([200, 300])
      await clock.advance(millis(200))
      expect(healthy()).toEqual(['a'])
    })

    it('excludes an incarnation that announced its leaving, whatever its row shows, until the endpoint restarts', () => {
      const { directory, usable } = rig()
      directory.replaced([endpointRow('a')], NO_OUTAGE)
      directory.noteLeaving(directory.usable(ROW_SERVICE)[0]!)
      expect(usable()).toEqual([])
      directory.changed([endpointRow('a', { sequence: 8 })], NO_OUTAGE)
      directory.changed([gone('a')], NO_OUTAGE)
      directory.changed([endpointRow('a', { sequence: 9 })], NO_OUTAGE)
      expect(usable()).toEqual([])
      directory.changed([endpointRow('a', { startedAt: epochMillis(2000), sequence: 1 })], NO_OUTAGE)
      expect(usable()).toEqual(['a'])
    })

    it('avoids an endpoint that fails far more often than the others, however healthy its reports are', () => {
      const { clock, directory } = rig()
      directory.replaced([endpointRow('a'), endpointRow('b'), endpointRow('c')], NO_OUTAGE)
      const [a, b, c] = directory.usable(ROW_SERVICE)
      for (let answer = 0; answer < 12; answer++) {
        a!.noteAnswer(answer % 2 === 0, clock.now())
        b!.noteAnswer(true, clock.now())
        c!.noteAnswer(true, clock.now())
      }
      expect(directory.healthy(ROW_SERVICE).map(({ id }) => id)).toEqual(['b', 'c'])
    })
  })
})

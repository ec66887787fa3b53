import { brand, epochMillis, millis, SILENT_LOG, VirtualClock } from '@papayahill/common'
import type { DomainId, EndpointId, InstanceId, ServiceId } from '@papayahill/common'
import { EndpointDirectory } from '@papayahill/directory'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { EndpointReach } from './EndpointReach.js'
import type { ProbeResult } from './types.js'

const SEED = Number(process.env.MODEL_SEED ?? 1)
const RUNS = Number(process.env.MODEL_RUNS ?? 150)
const SERVICES = ['orders', 'search'].map((name) => brand<ServiceId>(name))
const ENDPOINTS_PER_SERVICE = 3
const ENDPOINTS = SERVICES.length * ENDPOINTS_PER_SERVICE
/** Probes at one moment: a few for each path. */
const MAX_PROBES = 6 * ENDPOINTS

const SIGNS = ['contact', 'silence', 'hang', 'no contact', 'opened', 'opened before', 'loss', 'wait', 'gone', 'pass time'] as const
const STEP = fc.record({ sign: fc.constantFrom(...SIGNS), at: fc.nat({ max: ENDPOINTS - 1 }), span: fc.constantFrom(0, 1, 100, 700) })
const RESULTS = fc.array(fc.constantFrom<ProbeResult>('listening', 'refused', 'unknown'), { minLength: 1, maxLength: 7 })

describe('a turn of the event loop ends', () => {
  // Guards against probes whose results, each known at once, cause the next one without end.
  it('while every probe is answered at once', async () => {
    await fc.assert(fc.asyncProperty(fc.array(STEP, { maxLength: 40 }), RESULTS, async (steps, results) => {
      const clock = new VirtualClock()
      const directory = new EndpointDirectory({ clock, log: SILENT_LOG, isDomainOut: () => false })
      const rows = SERVICES.flatMap((service) => Array.from({ length: ENDPOINTS_PER_SERVICE }, (_none, at) => ({
        id: brand<EndpointId>(`${service}-${at}`),
        service,
        address: { ip: '10.0.0.1', port: at },
        domain: brand<DomainId>('hall'),
        version: 'v1',
        slots: 1,
        isDraining: false,
        coldFor: millis(0),
        sequence: 1,
        startedAt: epochMillis(1)
      })))
      directory.changed(rows.map((record) => ({ key: record.id, value: { record }, revision: 1 })), millis(0))
      const endpoints = rows.map(({ id }) => directory.get(id)!)
      let [probes, probesNow, probedAt] = [0, 0, 0]
      let isBroken = false
      const reach = new EndpointReach({
        clock,
        log: SILENT_LOG,
        directory,
        peers: { self: brand<InstanceId>('self'), members: () => [], publish: () => {}, entries: () => [], onEntry: () => {} },
        probe: async () => {
          if (clock.now() !== probedAt) probesNow = 0
          probedAt = clock.now()
          isBroken ||= ++probesNow > MAX_PROBES
          // A probe without an end stops a loop of them, so that the test fails instead of hanging.
          return isBroken ? await new Promise<never>(() => {}) : results[probes++ % results.length]!
        },
        hasIdle: () => false
      })
      for (const { sign, at, span } of steps) {
        const endpoint = endpoints[at]!
        if (sign === 'contact') reach.noteContact(endpoint)
        if (sign === 'silence') reach.noteSilence(endpoint)
        if (sign === 'hang') reach.noteHang(endpoint)
        if (sign === 'no contact') reach.noteNoContact(endpoint)
        if (sign === 'opened') reach.noteOpened(endpoint, clock.now())
        if (sign === 'opened before') reach.noteOpened(endpoint, millis(clock.now() - span))
        if (sign === 'loss') reach.judgeLoss(endpoint, () => {})
        if (sign === 'wait') reach.judgeWait(endpoint, () => {})
        if (sign === 'gone') directory.changed([{ key: endpoint.id, value: undefined, revision: 2 }], millis(0))
        if (sign === 'pass time') await clock.advance(millis(span))
      }
      await clock.advance(millis(3000))
      expect(isBroken).toBe(false)
    }), { numRuns: RUNS, seed: SEED })
  })
})

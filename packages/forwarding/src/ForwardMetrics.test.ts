import { BATCHING_EVENTS } from '@papayahill/batching'
import { EventRecorder, millis, VirtualClock } from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { MAX_ROUTE_LABELS, MAX_WORKSPACE_LABELS } from './constants.js'
import { FORWARDING_EVENTS } from './events.js'
import { ForwardMetrics } from './ForwardMetrics.js'
import type { RunEnd } from './RunEnds.js'
import type { ForwardRequest } from './types.js'

const requestOf = (workspace: string): ForwardRequest => ({ route: { name: 'guide' }, workspace }) as ForwardRequest

describe('ForwardMetrics', () => {
  it('counts requests by route and outcome, and measures their time', async () => {
    const metrics = new ForwardMetrics()
    metrics.requestEnded(requestOf('w1'), { kind: 'answered', status: 200 }, millis(300))
    const text = await metrics.text()
    expect(text).toContain('papayahill_requests_total{route="guide",outcome="answered"} 1')
    expect(text).toContain('papayahill_request_seconds_bucket{le="0.4",route="guide"} 1')
  })

  it('counts logged events and reads batch sizes from them', async () => {
    const metrics = new ForwardMetrics()
    const lines = new EventRecorder(new VirtualClock())
    const log = metrics.countEvents(lines)
    log.emit(BATCHING_EVENTS.batchSent, { pieces: 7 })
    log.emit(FORWARDING_EVENTS.retryDenied, { request: 'r1' })
    const text = await metrics.text()
    expect(lines.records).toHaveLength(2)
    expect(text).toContain('papayahill_events_total{event="retryDenied"} 1')
    expect(text).toContain('papayahill_batch_pieces_sum 7')
  })

  it('limits the number of workspace labels', async () => {
    const metrics = new ForwardMetrics()
    for (let at = 0; at < MAX_WORKSPACE_LABELS + 50; at++) metrics.requestEnded(requestOf(`w${at}`), { kind: 'cut', detail: '' }, millis(1))
    const text = await metrics.text()
    expect(text).toContain('papayahill_workspace_requests_total{workspace="other",outcome="cut"} 50')
    expect(text.match(/papayahill_workspace_requests_total\{/g)).toHaveLength(MAX_WORKSPACE_LABELS + 1)
  })

  it('does not keep the routes of all configurations that were ever in force', async () => {
    const metrics = new ForwardMetrics()
    const end = (route: string, kind: 'cut' | 'answered'): void => {
      metrics.requestEnded({ route: { name: route }, workspace: 'w1' } as ForwardRequest, { kind, detail: '', status: 200 } as RunEnd, millis(1))
    }
    end('lasting', 'cut')
    for (let at = 0; at < 2 * MAX_ROUTE_LABELS; at++) {
      end(`route-${at}`, 'cut')
      end(`route-${at}`, 'answered')
      if (at % 100 === 0) end('lasting', 'cut')
    }
    const text = await metrics.text()
    expect(text.match(/papayahill_requests_total\{/g)!.length).toBeLessThanOrEqual(2 * MAX_ROUTE_LABELS)
    expect(text.match(/papayahill_request_seconds_count\{/g)).toHaveLength(MAX_ROUTE_LABELS)
    expect(text).toContain('papayahill_requests_total{route="lasting",outcome="cut"} 21')
    expect(text).toContain(`papayahill_requests_total{route="route-${2 * MAX_ROUTE_LABELS - 1}",outcome="answered"} 1`)
  })

  it('reads gauges at collection', async () => {
    const metrics = new ForwardMetrics()
    let usable = 3
    metrics.gauge('papayahill_endpoints', 'Endpoints', () => new Map([['usable', usable]]), 'state')
    expect(await metrics.text()).toContain('papayahill_endpoints{state="usable"} 3')
    usable = 2
    expect(await metrics.text()).toContain('papayahill_endpoints{state="usable"} 2')
  })
})

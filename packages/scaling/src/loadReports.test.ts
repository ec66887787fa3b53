import { brand, EventRecorder, millis, seconds, VirtualClock } from '@papayahill/common'
import type { DomainId, Incarnation, InstanceId, Json, Millis, ServiceId } from '@papayahill/common'
import { beforeEach, describe, expect, it } from 'vitest'
import { SCALING_EVENTS } from './events.js'
import { LoadCollector } from './LoadCollector.js'
import { LoadCounters } from './LoadCounters.js'
import { LoadReporter } from './LoadReporter.js'

const SERVICE = brand<ServiceId>('embed')
const EAST = brand<DomainId>('east')
const FROM = { id: brand<InstanceId>('ph-1'), incarnation: brand<Incarnation>('ph-1/7') }
const HOLDER = brand<Incarnation>('ph-2/3')

let clock: VirtualClock
let events: EventRecorder
let counters: LoadCounters
let reporter: LoadReporter
let collector: LoadCollector

beforeEach(() => {
  clock = new VirtualClock()
  events = new EventRecorder(clock)
  counters = new LoadCounters()
  reporter = new LoadReporter({ clock, services: () => [SERVICE], loads: (service) => counters.loads(service) })
  collector = new LoadCollector({ clock, log: events })
})

/** Sends one report, which may be lost, or whose confirmation may be. */
const report = (fate: 'received' | 'lost' | 'unconfirmed' = 'received', receiver = HOLDER): readonly Json[] => {
  const { body, confirm } = reporter.next(receiver)!
  if (fate !== 'lost') collector.receive(FROM, body, clock.now())
  if (fate === 'received') confirm()
  return body as readonly Json[]
}

const begin = (count: number): void => { for (let at = 0; at < count; at++) counters.of(SERVICE, EAST).begin() }

describe('LoadCounters', () => {
  it('counts calls, and means their hold times but those that say nothing', () => {
    const counter = counters.of(SERVICE, EAST)
    begin(3)
    counter.end(millis(100))
    counter.end(undefined)
    expect(counter).toMatchObject({ running: 1, begun: 3, holdTime: 100 })
  })
})

describe('reports of load', () => {
  it('give rates from counts, which lost and repeated reports do not change', async () => {
    report()
    for (const fate of ['lost', 'unconfirmed', 'received', 'unconfirmed', 'received'] as const) {
      await clock.advance(seconds(1))
      begin(40)
      report(fate)
    }
    for (let second = 0; second < 20; second++) {
      await clock.advance(seconds(1))
      begin(40)
      report()
    }
    const [sample] = collector.samples(SERVICE)
    expect(sample!.begunPerSecond).toBeCloseTo(40, 0)
    expect(sample).toMatchObject({ running: 25 * 40, domain: EAST, age: 0 })
  })

  it('count requests that wait or were refused as arrived', async () => {
    counters.of(SERVICE, EAST)
    report()
    for (let second = 0; second < 20; second++) {
      await clock.advance(seconds(1))
      counters.of(SERVICE, EAST).waiting += 5
      counters.of(SERVICE, EAST).refused += 10
      report()
    }
    const [sample] = collector.samples(SERVICE)
    expect(sample!.newestPerSecond).toBe(15)
    expect(sample!.refusedPerSecond).toBeCloseTo(10, 0)
  })

  it('carry only what the receiver has not confirmed, and nothing else than that they come while nothing changes', async () => {
    begin(1)
    expect(report('lost')).toHaveLength(2)
    expect(report()).toHaveLength(2)
    expect(report()).toHaveLength(1)
    await clock.advance(seconds(4))
    report()
    expect(collector.samples(SERVICE)[0]!.age).toBe(0)
    expect(collector.heardWithin(seconds(1))).toEqual(new Set([FROM.incarnation]))
  })

  it('carry everything for a new receiver', () => {
    begin(1)
    report()
    expect(report('received', brand<Incarnation>('ph-3/1'))).toHaveLength(2)
  })

  it('repeat the names from time to time, so that a receiver which lost them gets them back', async () => {
    begin(1)
    report()
    collector = new LoadCollector({ clock, log: events })
    await clock.advance(seconds(5))
    begin(1)
    report()
    expect(collector.samples(SERVICE)).toEqual([])
    await clock.advance(seconds(5))
    report()
    expect(collector.samples(SERVICE)).toHaveLength(1)
  })

  it('stay small, and send all in turn where there is more than one report may carry', async () => {
    const domains = Array.from({ length: 20 }, (_none, at) => brand<DomainId>(`domain-${at}`))
    const sizes: number[] = []
    for (let second = 0; second < 8; second++) {
      await clock.advance(seconds(1))
      for (const domain of domains) counters.of(SERVICE, domain).begin()
      sizes.push(JSON.stringify(report()).length)
    }
    expect(collector.samples(SERVICE)).toHaveLength(20)
    expect(Math.min(...collector.samples(SERVICE).map(({ running }) => running))).toBeGreaterThan(4)
    expect(Math.max(...sizes)).toBeLessThan(400)
  })

  it('are not sent by a deployment whose endpoints are not ordered', () => {
    const idle = new LoadReporter({ clock, services: () => [], loads: (service) => counters.loads(service) })
    begin(1)
    expect(idle.next(HOLDER)).toBeUndefined()
  })

  it('age while an instance is silent, and are dropped when it has been silent for long', async () => {
    begin(1)
    report()
    await clock.advance(seconds(6))
    expect(collector.samples(SERVICE)[0]!.age).toBe(6000)
    expect(collector.heardWithin(seconds(5)).size).toBe(0)
    await clock.advance(seconds(30))
    collector.receive({ id: brand<InstanceId>('ph-9'), incarnation: brand<Incarnation>('ph-9/1') }, [0], clock.now())
    expect(collector.samples(SERVICE)).toEqual([])
  })

  it('are dropped if an older one comes late', async () => {
    begin(1)
    const late = reporter.next(HOLDER)!
    await clock.advance(seconds(1))
    begin(1)
    report()
    collector.receive(FROM, late.body, clock.now())
    expect(collector.samples(SERVICE)[0]!.running).toBe(2)
  })

  it.each<[string, Json]>([
    ['no list', { running: 3 }],
    ['no time', []],
    ['a text for a number', [5, [0, 'x', 0, 0, 0, 0]]],
    ['a negative count', [5, [0, -1, 0, 0, 0, 0, 'embed', 'east']]],
    ['an endless index', [5, [1e9, 1, 0, 0, 0, 0, 'embed', 'east']]],
    ['an entry that is no list', [5, 'x']]
  ])('are dropped with a log line if they hold %s', (_name, body) => {
    collector.receive(FROM, body, millis(0) as Millis)
    expect(collector.samples(SERVICE)).toEqual([])
    expect(events.records.map(({ kind }) => kind)).toEqual([SCALING_EVENTS.loadMalformed])
  })
})

import { brand, millis, SeededRandom, VirtualClock } from '@papayahill/common'
import type { Incarnation, InstanceId, Json, WorkspaceId } from '@papayahill/common'
import type { Reporter } from '@papayahill/reports'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { DEFAULT_WINDOW, MAX_COLLECTED_ENTRIES, MAX_COLLECTED_WINDOWS } from './constants.js'
import { UsageCollector } from './UsageCollector.js'
import { UsageCounter } from './UsageCounter.js'
import { UsageSource } from './UsageSource.js'

const RECEIVER = brand<Incarnation>('receiver@1')

const workspace = (at: number): WorkspaceId => brand<WorkspaceId>(`workspace-${at}`)

const reporterOf = (name: string): Reporter => ({ id: brand<InstanceId>(name), incarnation: brand<Incarnation>(`${name}@1`) })

/** One counting instance and the truth about it. */
class Sender {
  readonly reporter: Reporter
  readonly counter: UsageCounter
  readonly source: UsageSource
  readonly truth = new Map<string, number>()

  constructor (clock: VirtualClock, name: string) {
    this.reporter = reporterOf(name)
    this.counter = new UsageCounter({ clock, fleetClock: { now: () => clock.wall() } })
    this.source = new UsageSource(clock, this.counter)
  }

  count (at: number): void {
    this.counter.count(workspace(at))
    const key = `${this.counter.current} ${workspace(at)}`
    this.truth.set(key, (this.truth.get(key) ?? 0) + 1)
  }
}

const totalsOf = (collector: UsageCollector, windows: Iterable<number>): ReadonlyMap<string, number> =>
  new Map([...windows].flatMap((window) => [...collector.totals(window)].map(([name, count]) => [`${window} ${name}`, count] as const)))

const windowsOf = (truth: ReadonlyMap<string, number>): ReadonlySet<number> =>
  new Set([...truth.keys()].map((key) => Number(key.split(' ')[0])))

const sumOf = (truths: ReadonlyArray<ReadonlyMap<string, number>>): ReadonlyMap<string, number> => {
  const sum = new Map<string, number>()
  for (const truth of truths) for (const [key, count] of truth) sum.set(key, (sum.get(key) ?? 0) + count)
  return sum
}

const sorted = (counts: ReadonlyMap<string, number>): ReadonlyArray<readonly [string, number]> => [...counts].sort()

describe('UsageCollector', () => {
  it('holds the exact counts whatever messages are lost, repeated and late, once each instance was heard last', async () => {
    await fc.assert(fc.asyncProperty(fc.integer(), fc.integer({ min: 5, max: 60 }), async (seed, steps) => {
      const random = new SeededRandom(seed)
      const clock = new VirtualClock()
      const senders = ['a', 'b', 'c'].map((name) => new Sender(clock, name))
      const collector = new UsageCollector(clock)
      const inFlight: Array<() => void> = []
      for (let step = 0; step < steps; step++) {
        const sender = senders[random.below(3)]!
        for (let at = random.below(6); at > 0; at--) sender.count(random.below(5))
        const part = sender.source.next(RECEIVER)
        const receive = (): void => {
          if (part === undefined) return
          collector.receive(sender.reporter, part.body, clock.now())
          if (random.next() < 0.5) part.confirm()
        }
        if (random.next() < 0.7) inFlight.push(receive)
        if (random.next() < 0.3) inFlight.push(receive)
        while (inFlight.length > 0 && random.next() < 0.6) {
          try {
            inFlight.splice(random.below(inFlight.length), 1)[0]!()
          } catch {
            sender.source.next(RECEIVER)?.reject?.()
          }
        }
        await clock.advance(millis(random.below(2500)))
      }
      for (const { source, reporter } of senders) {
        source.next(RECEIVER)?.reject?.()
        const last = source.next(RECEIVER)
        if (last !== undefined) collector.receive(reporter, last.body, clock.now())
      }
      const truth = sumOf(senders.map((sender) => sender.truth))
      expect(sorted(totalsOf(collector, windowsOf(truth)))).toEqual(sorted(truth))
    }), { numRuns: 60 })
  })

  it('counts nothing twice when collectors that overlap are merged, in either order and repeatedly', () => {
    const clock = new VirtualClock()
    const senders = ['a', 'b', 'c'].map((name) => new Sender(clock, name))
    const [left, right] = [new UsageCollector(clock), new UsageCollector(clock)]
    senders.forEach((sender, at) => {
      for (let count = 0; count <= at + 3; count++) sender.count(count % 2)
      const { body } = sender.source.next(RECEIVER)!
      if (at < 2) left.receive(sender.reporter, body, clock.now())
      if (at > 0) right.receive(sender.reporter, body, clock.now())
    })
    const merged = new UsageCollector(clock)
    for (const one of [left, right, left]) merged.merge(one.exported())
    merged.merge(merged.exported())
    const truth = sumOf(senders.map((sender) => sender.truth))
    expect(sorted(totalsOf(merged, windowsOf(truth)))).toEqual(sorted(truth))
  })

  it('rejects numbers of workspaces that it was never told, and stores nothing of the section', () => {
    const clock = new VirtualClock()
    const sender = new Sender(clock, 'a')
    sender.count(0)
    sender.source.next(RECEIVER)!.confirm()
    sender.count(0)
    const collector = new UsageCollector(clock)
    const part = sender.source.next(RECEIVER)!
    expect(() => collector.receive(sender.reporter, part.body, clock.now())).toThrow()
    expect(collector.openWindows).toBe(0)
    part.reject!()
    collector.receive(sender.reporter, sender.source.next(RECEIVER)!.body, clock.now())
    expect(collector.totals(sender.counter.current).get(workspace(0))).toBe(2)
  })

  it('rejects malformed sections and exports', () => {
    const collector = new UsageCollector(new VirtualClock())
    const bodies: readonly Json[] = [
      null, {}, [], [0], [0, 5, 1], [0, 5, 1, 0], [0, 5, 1, 0, 0, 7], [0, 5, 1, [0, 'a'], 0, [0, 0, -1]], [0, 5, 1, [0, 'a'], 0, [0, 0]],
      [0, 5, 1, [0, 7], 0], [0, 5, 1, [3, 'a'], 0], [0, 5.5, 1, 0, 0]
    ]
    for (const body of bodies) expect(() => collector.receive(reporterOf('a'), body, millis(0))).toThrow()
    const exports: readonly Json[] = [null, 7, {}, { reporters: [[0, 1, 1]], windows: [], workspaces: [], incarnations: [] }]
    for (const exported of exports) expect(() => collector.merge(exported)).toThrow()
    expect(collector.earliest).toBeUndefined()
  })

  it('tells whether instances have reported beyond a window, and which of them are still awaited', async () => {
    const clock = new VirtualClock()
    const [a, b] = [new Sender(clock, 'a'), new Sender(clock, 'b')]
    const collector = new UsageCollector(clock)
    const report = (sender: Sender): void => collector.receive(sender.reporter, sender.source.next(RECEIVER)!.body, clock.now())
    const window = a.counter.current
    for (const sender of [a, b]) {
      sender.count(1)
      report(sender)
    }
    await clock.advance(DEFAULT_WINDOW)
    a.count(1)
    report(a)
    expect(collector.isComplete(window, [a.reporter.incarnation])).toBe(true)
    expect(collector.isComplete(window, [a.reporter.incarnation, b.reporter.incarnation])).toBe(false)
    expect(collector.isAwaited(window)).toBe(true)
    b.source.finish()
    report(b)
    expect(collector.isAwaited(window)).toBe(false)
  })

  it('stays within its bounds while no report can be written, and keeps all totals within them', () => {
    const clock = new VirtualClock()
    const collector = new UsageCollector(clock)
    const names = Array.from({ length: 500 }, (_none, at) => workspace(at))
    const window = 1000
    for (let at = 0; at < 300; at++) {
      const counts = names.flatMap((_name, number) => [number, 2])
      collector.receive(reporterOf(`i${at % 3}`), [0, window + at, 0, [0, ...names], 0, [0, ...counts]], millis(0))
    }
    expect(MAX_COLLECTED_ENTRIES).toBeLessThan(300 * 500)
    for (let at = 0; at < 300; at++) expect(collector.totals(window + at).get(workspace(7))).toBe(2)
    for (let at = 300; at < MAX_COLLECTED_WINDOWS + 300; at++) {
      collector.receive(reporterOf('a'), [0, window + at, 0, [0, 'x'], 0, [0, 0, 1]], millis(0))
    }
    expect(collector.openWindows).toBeLessThanOrEqual(MAX_COLLECTED_WINDOWS)
  })
})

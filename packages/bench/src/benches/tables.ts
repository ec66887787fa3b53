import { millis, seconds, SeededRandom } from '@papayahill/common'
import { TableHarness } from '@papayahill/directory'
import type { TableInstance } from '@papayahill/directory'
import type { Bench, BenchOptions, Figures } from '../types.js'

const SIZES = [6, 60, 200] as const
/** Max seeds by size: the largest takes as long as all others together. */
const MAX_SEEDS: Readonly<Record<number, number>> = { 200: 2 }
const ROWS = 150
const SETTLE = seconds(12)
const IDLE_SPAN = seconds(20)
/** Time within which all instances of the smallest deployments must know that an endpoint leaves. */
const MAX_KNOWN_TIME = millis(2000)
const REFUSED_SHARE = 0.3

/** A fault of some instances, or of their access to the store, injected before a change. */
type Fault = 'none' | 'watchers-die' | 'store-refuses-some' | 'store-silent-for-watchers' | 'history-gone'

const FAULTS: Readonly<Record<Fault, (harness: TableHarness, random: SeededRandom) => readonly TableInstance[]>> = {
  none: () => [],
  'watchers-die': (harness) => {
    const watchers = harness.watchers
    for (const watcher of watchers) harness.kill(watcher)
    return watchers
  },
  'store-refuses-some': (harness, random) => {
    for (const instance of harness.instances) if (random.next() < REFUSED_SHARE) instance.access = 'refuses'
    return []
  },
  'store-silent-for-watchers': (harness) => {
    for (const watcher of harness.watchers) watcher.access = 'silent'
    return []
  },
  'history-gone': (harness) => {
    harness.store.forgetHistory()
    return []
  }
}

const startHarness = async (instances: number): Promise<TableHarness> => {
  const harness = new TableHarness(instances)
  for (let row = 0; row < ROWS; row++) harness.store.put(`e${row}`, row)
  await harness.start(SETTLE)
  return harness
}

const idleFigures = async (instances: number): Promise<Figures> => {
  const harness = await startHarness(instances)
  const calls = harness.store.calls
  const bytes = harness.instances.map(({ sentBytes }) => sentBytes)
  await harness.clock.advance(IDLE_SPAN)
  const span = IDLE_SPAN / 1000
  return {
    [`storeCallsPerSecondAt${instances}`]: (harness.store.calls - calls) / span,
    [`bytesPerInstanceSecondAt${instances}`]: Math.max(...harness.instances.map((instance, at) => (instance.sentBytes - bytes[at]!) / span))
  }
}

/** The longest time until all live instances know a change, and the number of changes not known to all in time. */
const changeFigures = async (instances: number, { seed, seeds }: BenchOptions): Promise<Figures> => {
  let longest = 0
  let unknown = 0
  const names = Object.keys(FAULTS) as Fault[]
  for (let at = seed; at < seed + Math.min(seeds, MAX_SEEDS[instances] ?? seeds); at++) {
    const harness = await startHarness(instances)
    const random = new SeededRandom(at)
    const killed = FAULTS[names[at % names.length]!](harness, random)
    await harness.clock.advance(millis(random.next() * 3000))
    const live = harness.instances.filter((instance) => !killed.includes(instance))
    const took = await harness.change('e1', at + ROWS, MAX_KNOWN_TIME, live)
    if (took === undefined) unknown++
    else longest = Math.max(longest, took)
  }
  return { [`knownMaxMsAt${instances}`]: longest, [`unknownAt${instances}`]: unknown }
}

export const bench: Bench = {
  name: 'tables',
  about: 'Propagation of table changes to 6, 60 and 200 instances under faults of watchers and store, and its cost',
  seeds: 10,
  ciSeeds: 5,
  bounds: {
    ...Object.fromEntries(SIZES.map((size) => [`knownMaxMsAt${size}`, { max: MAX_KNOWN_TIME }])),
    ...Object.fromEntries(SIZES.map((size) => [`unknownAt${size}`, { max: 0 }])),
    ...Object.fromEntries(SIZES.map((size) => [`bytesPerInstanceSecondAt${size}`, { max: 3072 }])),
    storeCallsRatio: { max: 2 }
  },
  run: async (options) => {
    const figures: Record<string, number> = {}
    for (const size of SIZES) Object.assign(figures, await idleFigures(size), await changeFigures(size, options))
    figures.storeCallsRatio = figures.storeCallsPerSecondAt200! / figures.storeCallsPerSecondAt60!
    return { figures, baselines: {} }
  }
}

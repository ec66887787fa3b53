import { SeededRandom, seconds } from '@papayahill/common'
import { checkInvariants } from '@papayahill/invariants'
import type { InvariantName } from '@papayahill/invariants'
import { deployment, Testbed } from '@papayahill/testbed'
import { ChaosCallers } from '../chaos/ChaosCallers.js'
import { FaultScript } from '../chaos/FaultScript.js'
import type { Bench, BenchOptions } from '../types.js'

const FAULT_SPAN = seconds(45)
const HEAL_SPAN = seconds(10)
const ANSWER_TIMEOUT = seconds(180)
const MIN_INSTANCES = 3
const INSTANCE_RANGE = 4

const BOUNDED_INVARIANTS: readonly InvariantName[] = [
  'results-intact', 'answers-whole', 'not-run-true', 'at-most-once', 'cold-start-borne', 'domain-out-respected', 'planned-stop-graceful'
]

interface SeedOutcome {
  readonly requests: number
  readonly answered: number
  readonly unresolved: number
  readonly faults: number
  readonly breaches: ReadonlyArray<{ readonly seed: number, readonly promise: InvariantName, readonly detail: string }>
}

const runSeed = async (seed: number): Promise<SeedOutcome> => {
  const random = new SeededRandom(seed)
  const sample = deployment(seed % 2 === 0 ? 'consorcio' : 'trade-office', MIN_INSTANCES + random.below(INSTANCE_RANGE))
  const testbed = new Testbed(sample.plan, seed)
  await testbed.start()
  const callers = new ChaosCallers(testbed, sample, random.fork())
  const script = new FaultScript(testbed, random.fork(), [...sample.plan.config.domains.keys()])
  callers.start()
  script.start()
  await testbed.clock.advance(FAULT_SPAN)
  await testbed.finish(script.stop(), ANSWER_TIMEOUT)
  await testbed.clock.advance(HEAL_SPAN)
  await testbed.finish(callers.stop(), ANSWER_TIMEOUT)
  const breaches = checkInvariants(testbed.trace).map(({ invariant, detail }) => ({ seed, promise: invariant, detail }))
  return {
    requests: callers.answers.length,
    answered: callers.answers.filter(({ outcome }) => outcome === 'answered').length,
    unresolved: callers.unresolved.size,
    faults: [...script.counts.values()].reduce((sum, count) => sum + count, 0),
    breaches
  }
}

const runAll = async ({ seed, seeds }: BenchOptions): Promise<readonly SeedOutcome[]> => {
  const outcomes: SeedOutcome[] = []
  for (let at = seed; at < seed + seeds; at++) outcomes.push(await runSeed(at))
  return outcomes
}

const sumOf = (outcomes: readonly SeedOutcome[], read: (outcome: SeedOutcome) => number): number =>
  outcomes.reduce((sum, outcome) => sum + read(outcome), 0)

export const bench: Bench = {
  name: 'chaos',
  about: 'Complete instances under kills, pauses, drains, store outages, lost answers, cut links and bad endpoints, several at once',
  seeds: 20,
  ciSeeds: 3,
  bounds: { ...Object.fromEntries(BOUNDED_INVARIANTS.map((name) => [name, { max: 0 }])), requests: { min: 1 }, faults: { min: 1 } },
  run: async (options) => {
    const outcomes = await runAll(options)
    const breaches = outcomes.flatMap((outcome) => outcome.breaches)
    const counts = Object.fromEntries(BOUNDED_INVARIANTS.map((name) => [name, breaches.filter(({ promise }) => promise === name).length]))
    return {
      figures: {
        ...counts,
        requests: sumOf(outcomes, ({ requests }) => requests),
        answered: sumOf(outcomes, ({ answered }) => answered),
        unresolved: sumOf(outcomes, ({ unresolved }) => unresolved),
        faults: sumOf(outcomes, ({ faults }) => faults)
      },
      baselines: {},
      notes: { breaches }
    }
  }
}

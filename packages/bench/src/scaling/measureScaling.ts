import { LoadCounters } from '@papayahill/scaling'
import type { BenchOptions, Figures } from '../types.js'
import { LoadScenario, RUN_SPAN } from './LoadScenario.js'
import { INSTANCES, knowing, papayahill, TICK, prompt, unchanged, utilisation } from './policies.js'
import type { PolicyFactory } from './policies.js'
import { ScaledFleet } from './ScaledFleet.js'
import type { FleetResult } from './ScaledFleet.js'

/** Endpoints of each failure domain at the start, about what the mean of the load needs. */
const INITIAL = 4

const POLICIES = { papayahill, utilisation, none: unchanged, knowing, prompt } as const satisfies Readonly<Record<string, PolicyFactory>>
export type PolicyName = keyof typeof POLICIES | 'atMax'
const POLICY_NAMES = [...Object.keys(POLICIES), 'atMax'] as readonly PolicyName[]

const runPolicy = async (policy: PolicyName, scenario: LoadScenario): Promise<FleetResult> => {
  const counters = Array.from({ length: INSTANCES }, () => new LoadCounters())
  const fleet = new ScaledFleet(scenario, counters, policy === 'atMax' ? scenario.profile.max : INITIAL)
  const scaling = (policy === 'atMax' ? unchanged : POLICIES[policy])(scenario, counters, fleet)
  while (fleet.now < RUN_SPAN) {
    fleet.advance(TICK)
    await scaling.tick(fleet)
  }
  return fleet.result
}

/** Results of one seed under each policy. */
export type SeedResults = Readonly<Record<PolicyName, FleetResult>>

/** Runs each seed with a number of bursts. */
export const runSeeds = async ({ seed, seeds }: BenchOptions, bursts: number): Promise<readonly SeedResults[]> => {
  const results: SeedResults[] = []
  for (let each = seed; each < seed + seeds; each++) {
    const scenario = new LoadScenario(each, bursts)
    const entries: Array<readonly [PolicyName, FleetResult]> = []
    for (const name of POLICY_NAMES) entries.push([name, await runPolicy(name, scenario)])
    results.push(Object.fromEntries(entries) as SeedResults)
  }
  return results
}

const shareInTime = ({ inTime, callers }: FleetResult): number => inTime / callers

/** Figures of one policy: the mean over the seeds, and the worst seed. */
export const figuresOf = (policy: PolicyName, results: readonly SeedResults[]): Figures => {
  const served = results.map((each) => shareInTime(each[policy]) / shareInTime(each.atMax))
  const cost = results.map((each) => each[policy].endpointSeconds / each.knowing.endpointSeconds)
  const meanOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
  return {
    servedOfAtMax: meanOf(served),
    servedOfAtMaxWorst: Math.min(...served),
    endpointSecondsOfKnowing: meanOf(cost),
    endpointSecondsOfKnowingWorst: Math.max(...cost),
    ordersPerMinute: meanOf(results.map((each) => each[policy].orders)) / (RUN_SPAN / 60_000)
  }
}

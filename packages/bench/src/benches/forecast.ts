import { epochMillis, microUnits, millis, MILLIS_PER_DAY, MILLIS_PER_MINUTE, SeededRandom, VirtualClock } from '@papayahill/common'
import { dayOf } from '@papayahill/cost'
import type { BudgetSettings } from '@papayahill/settings'
import { KeeperPolicy, FixedPartPolicy } from '../forecast/policies.js'
import type { ForecastPolicy } from '../forecast/policies.js'
import { PARTS, SpendModel, STEP_MINUTES, STEPS_PER_DAY, WORKSPACE } from '../forecast/SpendModel.js'
import type { Tripling } from '../forecast/SpendModel.js'
import type { Bench, BenchOptions, Figures } from '../types.js'

const CALM_DAYS = 100
const STEPS_PER_HOUR = 60 / STEP_MINUTES
/** The budget over an ordinary working day's spend. */
const LIMIT_FACTORS = [1.25, 1.5] as const
/** Hours in which the spend may triple. */
const TRIPLES_FROM = [5, 12] as const

type PolicyMaker = (clock: VirtualClock, budget: BudgetSettings) => ForecastPolicy

const POLICIES = {
  keeper: (clock, budget) => new KeeperPolicy(clock, budget),
  fixedPart: (clock, budget) => new FixedPartPolicy(clock, budget)
} satisfies Readonly<Record<string, PolicyMaker>>

interface Outcome {
  readonly falseWarnings: number
  /** Minutes from the warning to the moment at which the budget was passed; 0 where there was no warning. */
  readonly warnedAhead: number | undefined
  readonly isDriverNamed: boolean
}

const between = (random: SeededRandom, [low, high]: readonly [number, number]): number => low + (high - low) * random.next()

const runSeed = async (seed: number, makePolicy: PolicyMaker): Promise<Outcome> => {
  const random = new SeededRandom(seed)
  const clock = new VirtualClock(epochMillis(Date.UTC(2027, 0, 4)))
  const tripling: Tripling = { day: CALM_DAYS, step: Math.floor(between(random, TRIPLES_FROM) * STEPS_PER_HOUR) }
  const model = new SpendModel(seed, tripling)
  const limit = microUnits(Math.round(model.usualDay * between(random, LIMIT_FACTORS)))
  const budget: BudgetSettings = { workspace: WORKSPACE, period: 'day', limit, atLimit: 'warn' }
  const policy = makePolicy(clock, budget)
  let passedAt: number | undefined
  for (let day = 0; day <= CALM_DAYS; day++) {
    let spent = 0
    for (let step = 0; step < STEPS_PER_DAY; step++) {
      const spend = model.step(day, step)
      spent += spend.reduce((sum, part) => sum + part, 0)
      await policy.step(dayOf(clock.wall()), Math.floor(step / STEPS_PER_HOUR), spend)
      if (spent >= limit) passedAt ??= clock.wall()
      await clock.advance(millis(STEP_MINUTES * MILLIS_PER_MINUTE))
    }
  }
  const lastDay = Date.UTC(2027, 0, 4) + CALM_DAYS * MILLIS_PER_DAY
  const warning = policy.warnings.find(({ at }) => at >= lastDay)
  const ahead = warning === undefined || passedAt === undefined ? 0 : (passedAt - warning.at) / MILLIS_PER_MINUTE
  return {
    falseWarnings: policy.warnings.filter(({ at }) => at < lastDay).length,
    warnedAhead: passedAt === undefined ? undefined : ahead,
    isDriverNamed: warning?.driver !== undefined && PARTS.some(({ id }) => `${id.class}/${id.stage}` === warning.driver)
  }
}

const runPolicy = async ({ seed, seeds }: BenchOptions, makePolicy: PolicyMaker): Promise<Figures> => {
  const outcomes: Outcome[] = []
  for (let each = seed; each < seed + seeds; each++) outcomes.push(await runSeed(each, makePolicy))
  const passed = outcomes.map(({ warnedAhead }) => warnedAhead).filter((minutes) => minutes !== undefined)
  return {
    warnedAheadMinMinutes: Math.min(...passed),
    falseWarningsPer100Days: outcomes.reduce((sum, { falseWarnings }) => sum + falseWarnings, 0) / outcomes.length * 100 / CALM_DAYS,
    driverNamedShare: outcomes.filter(({ isDriverNamed }) => isDriverNamed).length / outcomes.length,
    passedShare: passed.length / outcomes.length
  }
}

/** A hundred calm days, then a day on which the workspace's spend triples. */
export const bench: Bench = {
  name: 'forecast',
  about: 'a budget that will be passed is told ahead of time, and calm days are calm',
  seeds: 10,
  ciSeeds: 3,
  bounds: {
    warnedAheadMinMinutes: { min: 60 },
    falseWarningsPer100Days: { max: 1 }
  },
  baselinesMustMiss: { fixedPart: ['falseWarningsPer100Days'] },
  run: async (options) => ({
    figures: await runPolicy(options, POLICIES.keeper),
    baselines: { fixedPart: await runPolicy(options, POLICIES.fixedPart) }
  })
}

import { formatCallId } from '@papayahill/common'
import type { ServiceId, StageUsage } from '@papayahill/common'
import type { CostRow } from '@papayahill/cost'
import type { Prices } from '@papayahill/settings'
import { CONFIG, STAGES } from '../ledger/deployment.js'
import { LedgerRig, makeCostKeeper } from '../ledger/LedgerRig.js'
import type { LedgerOutcome, Life, MeterMaker } from '../ledger/LedgerRig.js'
import { makeNaiveMeter } from '../ledger/NaiveMeter.js'
import type { Bench, BenchOptions, Figures } from '../types.js'

/** The period at which peers pass on what waits. */
const GOSSIP_PERIOD_MS = 100

/** What is compared to the last unit. */
interface Units {
  readonly calls: number
  readonly tokens: number
  readonly busy: number
  readonly cost: number
}

const NO_UNITS: Units = { calls: 0, tokens: 0, busy: 0, cost: 0 }

const sum = (left: Units, right: Units): Units => ({
  calls: left.calls + right.calls,
  tokens: left.tokens + right.tokens,
  busy: left.busy + right.busy,
  cost: left.cost + right.cost
})

const difference = (left: Units, right: Units): number =>
  Math.abs(left.calls - right.calls) + Math.abs(left.tokens - right.tokens) +
  Math.abs(left.busy - right.busy) + Math.abs(left.cost - right.cost)

/** The provider's own pricing of a bill, rounded once to whole micro-units. */
const priceOf = (prices: Prices, { tokensIn, tokensCached, tokensOut, busy }: StageUsage): number => Math.round(
  prices.perCall + busy / 1000 * prices.perSecond +
  (tokensIn * prices.perThousandTokensIn + tokensCached * prices.perThousandTokensCached + tokensOut * prices.perThousandTokensOut) / 1000
)

const unitsOfBill = (service: ServiceId, usage: StageUsage): Units => ({
  calls: 1,
  tokens: Math.round(usage.tokensIn) + Math.round(usage.tokensCached) + Math.round(usage.tokensOut),
  busy: Math.round(usage.busy),
  cost: priceOf(CONFIG.services.get(service)!.prices, usage)
})

const unitsOfRow = ({ calls, usage, cost }: CostRow): Units =>
  ({ calls, tokens: usage.tokensIn + usage.tokensCached + usage.tokensOut, busy: usage.busy, cost })

/** The stand-ins' bills by call. */
const billsOf = ({ endpoints }: LedgerOutcome): ReadonlyMap<string, Units> => new Map(endpoints.flatMap(({ bills, listed }) =>
  bills.map(({ call, usage }) => [formatCallId(call), unitsOfBill(listed.service, usage)] as const)))

interface LifeResult {
  readonly difference: number
  readonly hiddenMs: number
}

/** A life that was killed may lack its last calls, and only those: they are hidden by its death. */
const judgeLife = (life: Life, bills: ReadonlyMap<string, Units>, rows: readonly CostRow[]): LifeResult => {
  const metered = rows.filter((row) => row.class === life.class).map(unitsOfRow).reduce(sum, NO_UNITS)
  const billed = life.heard.filter(({ call }) => bills.has(formatCallId(call)))
  const known = life.diedAt === undefined ? billed : billed.slice(0, metered.calls)
  const due = known.map(({ call }) => bills.get(formatCallId(call))!).reduce(sum, NO_UNITS)
  const firstHidden = billed[known.length]
  const hiddenMs = firstHidden === undefined || life.diedAt === undefined ? 0 : life.diedAt - firstHidden.at
  return { difference: difference(metered, due), hiddenMs }
}

const runMeter = async ({ seed, seeds }: BenchOptions, makeMeter: MeterMaker): Promise<Figures> => {
  const results: LifeResult[] = []
  let calls = 0
  for (let each = seed; each < seed + seeds; each++) {
    const outcome = await new LedgerRig(each, makeMeter).run()
    const bills = billsOf(outcome)
    calls += bills.size
    results.push(...outcome.lives.map((life) => judgeLife(life, bills, outcome.rows)))
  }
  return {
    unitsDifference: results.reduce((total, result) => total + result.difference, 0),
    hiddenByDeathMaxMs: Math.max(...results.map(({ hiddenMs }) => hiddenMs)),
    lives: results.length,
    calls
  }
}

/** Bills of the stand-ins against the ledger under deaths, restarts, retries, cancels, cuts and store outages. */
export const bench: Bench = {
  name: 'ledger',
  about: `metered cost equals the endpoints' own bills for ${STAGES.length} stages under faults`,
  seeds: 30,
  ciSeeds: 6,
  bounds: {
    unitsDifference: { max: 0 },
    hiddenByDeathMaxMs: { max: GOSSIP_PERIOD_MS }
  },
  baselinesMustMiss: { addAgain: ['unitsDifference', 'hiddenByDeathMaxMs'] },
  run: async (options) => ({
    figures: await runMeter(options, makeCostKeeper),
    baselines: { addAgain: await runMeter(options, makeNaiveMeter) }
  })
}

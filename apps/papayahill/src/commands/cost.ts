import { EXIT_CODES } from '../exitCodes.js'
import { formatTable } from '../table.js'
import { defineCommand } from '../types.js'

interface CostLine {
  readonly day: string
  readonly workspace: string
  readonly class: string
  readonly stage: string
  readonly use: string
  readonly calls: number
  readonly cost: number
}

interface BudgetLine {
  readonly workspace: string
  readonly class?: string
  readonly stage?: string
  readonly period: string
  readonly limit: number
}

interface ForecastLine {
  readonly budget: BudgetLine
  readonly spent: number
  readonly forecast: number
  readonly passesAt?: number
  readonly driver?: { readonly class: string, readonly stage: string }
}

interface CostAnswer {
  readonly rows: readonly CostLine[]
  readonly forecasts: readonly ForecastLine[]
}

const MICRO_UNITS = 1_000_000
const DECIMALS = 4

const money = (microUnits: number): string => (microUnits / MICRO_UNITS).toFixed(DECIMALS)

const forecastLine = ({ budget, spent, forecast, passesAt, driver }: ForecastLine): string => {
  const name = [budget.workspace, budget.class, budget.stage].filter((part) => part !== undefined).join('/')
  const when = passesAt === undefined ? 'stays within it' : `passes it at ${new Date(passesAt).toISOString()}`
  const why = driver === undefined ? '' : `, driven by ${driver.class}/${driver.stage}`
  return `${name}: ${money(spent)} of ${money(budget.limit)} a ${budget.period} spent, forecast ${money(forecast)}, ${when}${why}`
}

/** Cost by workspace, class and stage, with waste on its own lines, and what budgets will be passed. */
export const cost = defineCommand({
  command: 'cost',
  describe: 'Cost by workspace, class and stage, and budgets ahead',
  examples: [['$0 cost --from 2027-01-01 --to 2027-01-31', 'A month\'s cost']],
  builder: (argv) => argv
    .option('from', { type: 'string', describe: 'First day, such as 2027-01-04; today where left out' })
    .option('to', { type: 'string', describe: 'Last day' }),
  run: async ({ from, to }, cli) => {
    const query = new URLSearchParams({ ...(from === undefined ? {} : { from }), ...(to === undefined ? {} : { to }) })
    const answer = await cli.client().ask('GET', `/v1/cost?${query}`)
    const { rows, forecasts } = answer as unknown as CostAnswer
    cli.result(answer, () => [
      ...formatTable(['day', 'workspace', 'class', 'stage', 'use', 'calls', 'cost'],
        rows.map((row) => [row.day, row.workspace, row.class, row.stage, row.use, row.calls, money(row.cost)])),
      ...forecasts.map(forecastLine)
    ])
    return EXIT_CODES.done
  }
})

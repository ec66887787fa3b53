import { writeFileSync } from 'node:fs'
import type { MicroUnits } from '@papayahill/common'
import { COST_DIMENSIONS, costSvg, formatCostBars, formatCostCsv, formatCostTable, formatMoney } from '@papayahill/cost'
import type { CostBreakdown, CostDimension, CostRow } from '@papayahill/cost'
import { CliFailure } from '../CliFailure.js'
import { EXIT_CODES } from '../exitCodes.js'
import { formatTable } from '../table.js'
import { defineCommand } from '../types.js'

interface BudgetLine {
  readonly workspace: string
  readonly class?: string
  readonly stage?: string
  readonly period: string
  readonly limit: MicroUnits
}

interface ForecastLine {
  readonly budget: BudgetLine
  readonly spent: MicroUnits
  readonly forecast: MicroUnits
  readonly passesAt?: number
  readonly driver?: { readonly class: string, readonly stage: string }
}

interface CostAnswer {
  readonly rows: readonly CostRow[]
  readonly forecasts: readonly ForecastLine[]
}

const forecastLine = ({ budget, spent, forecast, passesAt, driver }: ForecastLine): string => {
  const name = [budget.workspace, budget.class, budget.stage].filter((part) => part !== undefined).join('/')
  const when = passesAt === undefined ? 'stays within it' : `passes it at ${new Date(passesAt).toISOString()}`
  const why = driver === undefined ? '' : `, driven by ${driver.class}/${driver.stage}`
  return `${name}: ${formatMoney(spent)} of ${formatMoney(budget.limit)} a ${budget.period} spent, forecast ${formatMoney(forecast)}, ${when}${why}`
}

const isDimension = (name: string | undefined): name is CostDimension =>
  (COST_DIMENSIONS as readonly string[]).includes(name ?? '')

const readBreakdown = (text: string): CostBreakdown => {
  const [first, second, ...rest] = text.split(',')
  if (isDimension(first) && isDimension(second) && first !== second && rest.length === 0) return [first, second]
  throw new CliFailure(`--by ${text} is not valid; name two of ${COST_DIMENSIONS.join(', ')}, such as workspace,stage`, EXIT_CODES.malformed)
}

/** Formats every ledger row without aggregating. */
const formatLedgerRows = (rows: readonly CostRow[]): readonly string[] => formatTable(
  ['day', 'workspace', 'class', 'stage', 'use', 'calls', 'cost'],
  rows.map((row) => [row.day, row.workspace, row.class, row.stage, row.use, row.calls, formatMoney(row.cost)])
)

type CostFormat = 'table' | 'csv' | 'bars'

const FORMATS: Readonly<Record<CostFormat, (rows: readonly CostRow[], by: CostBreakdown) => string>> = {
  table: formatCostTable,
  csv: formatCostCsv,
  bars: formatCostBars
}

const DEFAULT_BREAKDOWN: CostBreakdown = ['workspace', 'stage']

const formatOf = ({ csv, bars }: { readonly csv: boolean, readonly bars: boolean }): CostFormat =>
  csv ? 'csv' : bars ? 'bars' : 'table'

/** Shows cost by workspace, class and stage, with waste on separate lines, and which budgets are forecast to be exceeded. */
export const cost = defineCommand({
  command: 'cost',
  describe: 'Show cost by workspace, class and stage, and budget forecasts',
  examples: [
    ['$0 cost --from 2027-01-01 --to 2027-01-31', 'Cost of a month, row by row'],
    ['$0 cost --by workspace,stage', 'Today by workspace and stage, with waste in its own column'],
    ['$0 cost --by day,class --csv', 'For a spreadsheet'],
    ['$0 cost --by class,stage --svg cost.svg', 'A plot']
  ],
  builder: (argv) => argv
    .option('from', { type: 'string', describe: 'First day, such as 2027-01-04; default: today' })
    .option('to', { type: 'string', describe: 'Last day' })
    .option('by', { type: 'string', describe: `Break down by two of ${COST_DIMENSIONS.join(', ')}` })
    .option('csv', { type: 'boolean', default: false, describe: 'Print CSV, with cost in integer millionths' })
    .option('bars', { type: 'boolean', default: false, describe: 'Print a bar chart' })
    .option('svg', { type: 'string', describe: 'Write an SVG plot to this file' }),
  run: async ({ from, to, by, csv, bars, svg }, cli) => {
    const isBrokenDown = by !== undefined || csv || bars || svg !== undefined
    const breakdown = by === undefined ? DEFAULT_BREAKDOWN : readBreakdown(by)
    const query = new URLSearchParams({ ...(from === undefined ? {} : { from }), ...(to === undefined ? {} : { to }) })
    const answer = await cli.client().request('GET', `/v1/cost?${query}`)
    const { rows, forecasts } = answer as unknown as CostAnswer
    if (svg !== undefined) writeFileSync(svg, costSvg(rows, breakdown))
    const budgets = csv ? [] : forecasts.map(forecastLine)
    cli.printResult(answer, () => isBrokenDown
      ? [...FORMATS[formatOf({ csv, bars })](rows, breakdown).trimEnd().split('\n'), ...budgets]
      : [...formatLedgerRows(rows), ...budgets])
    return EXIT_CODES.done
  }
})

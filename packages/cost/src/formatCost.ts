import type { MicroUnits } from '@papayahill/common'
import { costLines } from './costLines.js'
import type { CostBreakdown, CostLine } from './costLines.js'
import type { CostRow } from './types.js'

const MICRO_PER_UNIT = 1_000_000
const DECIMALS = 4
const MAX_BAR_LENGTH = 40
const NEEDED_BLOCK = '█'
const WASTE_BLOCK = '░'

/**
 * Money in whole units of the deployment's currency. It has four decimals, because single calls cost less than 0.01.
 *
 * @example
 * formatMoney(microUnits(1_250_000)) // '1.2500'
 */
export const formatMoney = (cost: MicroUnits): string => (cost / MICRO_PER_UNIT).toFixed(DECIMALS)

const totalOf = ({ needed, waste }: CostLine): MicroUnits => needed + waste as MicroUnits
const percent = (part: number, whole: number): string => whole === 0 ? '-' : `${(100 * part / whole).toFixed(1)}%`

const causesOf = ({ wasteByCause }: CostLine): string =>
  Object.entries(wasteByCause).map(([cause, cost]) => `${cause} ${formatMoney(cost as MicroUnits)}`).join(', ')

const totalLine = (lines: readonly CostLine[]): CostLine => ({
  first: 'total',
  second: '',
  calls: lines.reduce((sum, { calls }) => sum + calls, 0),
  needed: lines.reduce((sum, { needed }) => sum + needed, 0) as MicroUnits,
  waste: lines.reduce((sum, { waste }) => sum + waste, 0) as MicroUnits,
  wasteByCause: {}
})

const cellsOf = (line: CostLine): readonly string[] => [
  line.first, line.second, String(line.calls), formatMoney(line.needed), formatMoney(line.waste),
  percent(line.waste, totalOf(line)), causesOf(line)
]

/** Number of columns on the left that contain names, not numbers. */
const NAME_COLUMNS = 2
const LAST_COLUMN = 6

const alignCell = (cell: string, column: number, width: number): string =>
  column < NAME_COLUMNS || column === LAST_COLUMN ? cell.padEnd(width) : cell.padStart(width)

/**
 * Cost by two dimensions as a table for the terminal, with waste in its own columns.
 *
 * @example
 * formatCostTable(rows, ['workspace', 'stage'])
 */
export const formatCostTable = (rows: readonly CostRow[], by: CostBreakdown): string => {
  const lines = costLines(rows, by)
  const table = [[...by, 'calls', 'needed', 'waste', 'waste %', 'waste by cause'], ...[...lines, totalLine(lines)].map(cellsOf)]
  const widths = table[0]!.map((_, column) => Math.max(...table.map((cells) => cells[column]!.length)))
  return table.map((cells) => cells.map((cell, column) => alignCell(cell, column, widths[column]!)).join('  ').trimEnd()).join('\n')
}

const csvCell = (cell: string): string => /[",\n]/.test(cell) ? `"${cell.replaceAll('"', '""')}"` : cell

/**
 * Cost by two dimensions as CSV with a header line; money in whole micro-units.
 *
 * @example
 * formatCostCsv(rows, ['day', 'class'])
 */
export const formatCostCsv = (rows: readonly CostRow[], by: CostBreakdown): string => {
  const header = [...by, 'calls', 'needed_micro', 'waste_micro']
  const cells = costLines(rows, by).map(({ first, second, calls, needed, waste }) => [first, second, calls, needed, waste].map(String))
  return [header, ...cells].map((line) => line.map(csvCell).join(',')).join('\n') + '\n'
}

/**
 * Cost by two dimensions as JSON; money in whole micro-units.
 *
 * @example
 * formatCostJson(rows, ['class', 'stage'])
 */
export const formatCostJson = (rows: readonly CostRow[], by: CostBreakdown): string => {
  const lines = costLines(rows, by).map(({ first, second, ...rest }) => ({ [by[0]]: first, [by[1]]: second, ...rest }))
  return JSON.stringify({ by, lines })
}

/**
 * Cost by two dimensions as a bar chart for the terminal: needed work in solid blocks, waste in light ones.
 *
 * @example
 * formatCostBars(rows, ['workspace', 'stage'])
 */
export const formatCostBars = (rows: readonly CostRow[], by: CostBreakdown): string => {
  const lines = costLines(rows, by)
  const maxTotal = Math.max(1, ...lines.map(totalOf))
  const names = lines.map(({ first, second }) => `${first} ${second}`)
  const width = Math.max(0, ...names.map((name) => name.length))
  return lines.map((line, index) => {
    const needed = NEEDED_BLOCK.repeat(Math.round(MAX_BAR_LENGTH * line.needed / maxTotal))
    const waste = WASTE_BLOCK.repeat(Math.round(MAX_BAR_LENGTH * line.waste / maxTotal))
    return `${names[index]!.padEnd(width)}  ${needed}${waste} ${formatMoney(totalOf(line))}`
  }).join('\n')
}

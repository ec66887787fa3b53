import type { MicroUnits } from '@papayahill/common'
import { sumRows } from './sumRows.js'
import type { CostRow } from './types.js'

/** What cost may be broken down by. */
export type CostDimension = 'workspace' | 'class' | 'stage' | 'day'

export const COST_DIMENSIONS: readonly CostDimension[] = ['workspace', 'class', 'stage', 'day']

export type CostBreakdown = readonly [CostDimension, CostDimension]

/** One line of a breakdown, with needed work and waste separately. */
export interface CostLine {
  readonly first: string
  readonly second: string
  readonly calls: number
  readonly needed: MicroUnits
  readonly waste: MicroUnits
  /** Waste by cause, such as `retry`. */
  readonly wasteByCause: Readonly<Record<string, number>>
}

const NEEDED = 'needed'

/**
 * Sums cost rows by two dimensions.
 *
 * @example
 * costLines(rows, ['workspace', 'stage'])
 */
export const costLines = (rows: readonly CostRow[], [first, second]: CostBreakdown): readonly CostLine[] => {
  const summed = sumRows(rows, (row) => `${row[first]}\n${row[second]}\n${row.use}`)
  const lines = new Map<string, CostLine>()
  for (const row of summed) {
    const key = `${row[first]}\n${row[second]}`
    const line = lines.get(key) ?? emptyLine(row[first], row[second])
    lines.set(key, addRow(line, row))
  }
  return [...lines.values()]
}

const emptyLine = (first: string, second: string): CostLine =>
  ({ first, second, calls: 0, needed: 0 as MicroUnits, waste: 0 as MicroUnits, wasteByCause: {} })

const addRow = (line: CostLine, { use, calls, cost }: CostRow): CostLine => {
  const base = { ...line, calls: line.calls + calls }
  if (use === NEEDED) return { ...base, needed: line.needed + cost as MicroUnits }
  const wasteByCause = { ...line.wasteByCause, [use]: (line.wasteByCause[use] ?? 0) + cost }
  return { ...base, waste: line.waste + cost as MicroUnits, wasteByCause }
}

import { microUnits, millis, tokens } from '@papayahill/common'
import type { CostRow } from './types.js'

const add = (left: CostRow, right: CostRow): CostRow => ({
  ...left,
  calls: left.calls + right.calls,
  usage: {
    tokensIn: tokens(left.usage.tokensIn + right.usage.tokensIn),
    tokensCached: tokens(left.usage.tokensCached + right.usage.tokensCached),
    tokensOut: tokens(left.usage.tokensOut + right.usage.tokensOut),
    busy: millis(left.usage.busy + right.usage.busy)
  },
  cost: microUnits(left.cost + right.cost)
})

/**
 * Sums rows that have the same key, sorted by key.
 *
 * @example
 * sumRows(rows, ({ workspace }) => workspace)
 */
export const sumRows = (rows: Iterable<CostRow>, keyOf: (row: CostRow) => string): readonly CostRow[] => {
  const sums = new Map<string, CostRow>()
  for (const row of rows) {
    const key = keyOf(row)
    const sum = sums.get(key)
    sums.set(key, sum === undefined ? row : add(sum, row))
  }
  return [...sums.entries()].sort(([left], [right]) => left < right ? -1 : 1).map(([, row]) => row)
}

/** Identifies one line of the cost table. */
export const rowKeyOf = ({ day, workspace, class: classId, stage, service, use }: CostRow): string =>
  `${day} ${workspace} ${classId} ${stage} ${service} ${use}`

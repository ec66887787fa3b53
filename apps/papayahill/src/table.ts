/** Formats rows as aligned columns; columns of numbers are right-aligned. */
export const formatTable = (head: readonly string[], rows: ReadonlyArray<readonly (string | number)[]>): readonly string[] => {
  const cells = [head, ...rows].map((row) => row.map(String))
  const widths = head.map((_name, at) => Math.max(...cells.map((row) => row[at]?.length ?? 0)))
  const isRight = head.map((_name, at) => rows.length > 0 && rows.every((row) => typeof row[at] === 'number'))
  const pad = (cell: string, at: number): string =>
    isRight[at] === true ? cell.padStart(widths[at] ?? 0) : cell.padEnd(widths[at] ?? 0)
  return cells.map((row) => row.map(pad).join('  ').trimEnd())
}

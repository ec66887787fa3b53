import { z } from 'zod'
import { emptyLine, lineKey, packedLineSchema, packLine, mergeLine, unpackLine } from './LedgerLine.js'
import type { LedgerLine, LedgerLineId, PackedLine } from './LedgerLine.js'

const linesSchema = z.array(packedLineSchema)

/**
 * Grow-only lines by id. Merging takes the larger value of each counter, so sets may be merged late, in any
 * order and more than once.
 *
 * @example
 * const lines = new LineSet()
 * lines.merge(LineSet.parse(row.value))
 */
export class LineSet {
  readonly #lines = new Map<string, LedgerLine>()

  get size (): number {
    return this.#lines.size
  }

  get lines (): Iterable<LedgerLine> {
    return this.#lines.values()
  }

  get (key: string): LedgerLine | undefined {
    return this.#lines.get(key)
  }

  getOrCreate (id: LedgerLineId): LedgerLine {
    const key = lineKey(id)
    const line = this.#lines.get(key) ?? emptyLine(id)
    this.#lines.set(key, line)
    return line
  }

  merge (other: LineSet): void {
    for (const line of other.lines) mergeLine(this.getOrCreate(line.id), line)
  }

  /** Whether every counter of the other set is here with at least the same value. */
  covers (other: LineSet): boolean {
    for (const { id, counters } of other.lines) {
      const own = this.#lines.get(lineKey(id))
      if (own === undefined || counters.some((value, index) => value > own.counters[index]!)) return false
    }
    return true
  }

  pack (): PackedLine[] {
    return [...this.#lines.values()].map(packLine)
  }

  static unpack (packed: readonly PackedLine[]): LineSet {
    const set = new LineSet()
    for (const line of packed.map(unpackLine)) set.#lines.set(lineKey(line.id), line)
    return set
  }

  /** Parses a list of lines; anything else, such as an absent row, gives an empty set. */
  static parse (value: unknown): LineSet {
    const parsed = linesSchema.safeParse(value)
    return LineSet.unpack(parsed.success ? parsed.data : [])
  }
}

import { z } from 'zod'
import { emptyLine, lineKey, packedLineSchema, packLine, raiseLine, unpackLine } from './LedgerLine.js'
import type { LedgerLine, LineId, PackedLine } from './LedgerLine.js'

const linesSchema = z.array(packedLineSchema)

/**
 * Grow-only lines by id. Merging takes the larger of each counter, so it may be done twice, late or in
 * any order.
 *
 * @example
 * const lines = new LineSet()
 * lines.raise(LineSet.parse(row.value))
 */
export class LineSet {
  readonly #lines = new Map<string, LedgerLine>()

  get size (): number {
    return this.#lines.size
  }

  get lines (): Iterable<LedgerLine> {
    return this.#lines.values()
  }

  has (key: string): boolean {
    return this.#lines.has(key)
  }

  get (key: string): LedgerLine | undefined {
    return this.#lines.get(key)
  }

  /** The line of an id, made where it is new. */
  of (id: LineId): LedgerLine {
    const key = lineKey(id)
    const line = this.#lines.get(key) ?? emptyLine(id)
    this.#lines.set(key, line)
    return line
  }

  raise (other: LineSet): void {
    for (const line of other.lines) raiseLine(this.of(line.id), line)
  }

  pack (): PackedLine[] {
    return [...this.#lines.values()].map(packLine)
  }

  /** An empty set from anything that is no list of lines, such as an absent row. */
  static parse (value: unknown): LineSet {
    const set = new LineSet()
    const parsed = linesSchema.safeParse(value)
    if (!parsed.success) return set
    for (const packed of parsed.data) {
      const line = unpackLine(packed)
      set.#lines.set(lineKey(line.id), line)
    }
    return set
  }
}

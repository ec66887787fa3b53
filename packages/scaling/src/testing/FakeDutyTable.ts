import type { Json } from '@papayahill/common'
import type { DutyCommit, DutyCommitted, DutyRow, DutyRows, DutyTable } from '@papayahill/duties'
import type { TableError } from '@papayahill/directory'
import { Result } from 'true-myth'

/** How the table answers: `lost` makes a change and answers with an error. */
export type TableAccess = 'serves' | 'refuses' | 'lost'

const UNAVAILABLE: TableError = { kind: 'unavailable', detail: 'by the test' }

/** The duties' table in memory. */
export class FakeDutyTable implements DutyTable {
  readonly #rows = new Map<string, DutyRow>()
  #revision = 0
  era = 0
  access: TableAccess = 'serves'
  /** Resolves when the store has received a call. */
  delay: () => Promise<void> = async () => {}
  reads = 0
  commits = 0

  get (key: string): Json | undefined {
    return this.#rows.get(key)?.value
  }

  put (key: string, value: Json): void {
    this.#rows.set(key, { key, value, revision: ++this.#revision })
  }

  async read (): Promise<Result<DutyRows, TableError>> {
    await this.delay()
    this.reads++
    if (this.access !== 'serves') return Result.err(UNAVAILABLE)
    return Result.ok({ era: this.era, rows: [...this.#rows.values()] })
  }

  async commit ({ era, expected, writes }: DutyCommit): Promise<Result<DutyCommitted, TableError>> {
    await this.delay()
    this.commits++
    if (this.access === 'refuses') return Result.err(UNAVAILABLE)
    const rows = expected.map(({ key }) => this.#rows.get(key) ?? { key, value: undefined, revision: 0 })
    const isMet = era === this.era && expected.every(({ revision }, at) => rows[at]!.revision === revision)
    if (!isMet) return Result.ok({ kind: 'conflict', rows })
    for (const { key, value } of writes) this.put(key, value)
    return this.access === 'lost' ? Result.err(UNAVAILABLE) : Result.ok({ kind: 'committed', revision: this.#revision })
  }
}

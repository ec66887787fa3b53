import { brand, isJsonObject, millis } from '@papayahill/common'
import type { Clock, EventLog, Incarnation, Random, Timer } from '@papayahill/common'
import type { Row, RowKey, RowWrite, TableService } from '@papayahill/stores'
import { decodeClaim, readClaimRow } from './claimRecord.js'
import type { ClaimRecord } from './claimRecord.js'
import { CLAIM_RETENTION, MAX_LISTED, PRUNE_PAGE, PRUNE_PAGES, PRUNE_PERIOD } from './constants.js'
import { CLAIMS_EVENTS } from './events.js'
import type { GroupedWrite } from './GroupCommit.js'

const LOG_PREFIX = 'claim-log/'
const UNKNOWN_PREFIX = 'claim-unknown/'
const TIME_DIGITS = 14
/** Sorts after all digits, so that a scan from here skips the rest of a prefix. */
const AFTER_DIGITS = '~'

export interface ClaimListingOptions {
  readonly incarnation: Incarnation
  readonly clock: Clock
  readonly random: Random
  readonly table: TableService
  readonly log: EventLog
}

interface LogRow {
  readonly row: Row
  readonly at: number
  readonly keys: readonly RowKey[]
}

const readLogRow = (row: Row): LogRow => {
  const { at, keys } = isJsonObject(row.value) ? row.value : {}
  return {
    row,
    at: typeof at === 'number' ? at : 0,
    keys: Array.isArray(keys) ? keys.filter((key) => typeof key === 'string').map((key) => brand<RowKey>(key)) : []
  }
}

const isNewClaim = (write: GroupedWrite): boolean => decodeClaim(write.value)?.state === 'claimed'

/** The end of the `claim-log/<incarnation>/` prefix of a key, from which a scan continues with the next incarnation. */
const endOfIncarnation = (key: RowKey): RowKey => brand<RowKey>(key.slice(0, key.lastIndexOf('/') + 1) + AFTER_DIGITS)

/**
 * Lists claims with unknown outcome, and prunes expired claims at a bounded cost by a log of claims in order of
 * age. Each transaction that creates claims adds one row to the log.
 */
export class ClaimListing {
  readonly #options: ClaimListingOptions
  #timer: Timer | undefined
  #isRunning = false
  #count = 0
  #cursor: RowKey | undefined

  constructor (options: ClaimListingOptions) {
    this.#options = options
  }

  start (): void {
    this.#isRunning = true
    this.#schedule()
  }

  stop (): void {
    this.#isRunning = false
    this.#timer?.cancel()
  }

  /** The log row for the claims that a transaction creates. */
  logWritesFor (writes: readonly GroupedWrite[]): readonly RowWrite[] {
    const keys = writes.filter(isNewClaim).map((write) => write.key)
    if (keys.length === 0) return []
    const { clock, incarnation } = this.#options
    const at = clock.wall()
    const name = `${LOG_PREFIX}${incarnation}/${String(Math.floor(at)).padStart(TIME_DIGITS, '0')}-${this.#count++}`
    return [{ key: brand<RowKey>(name), value: { at, keys } }]
  }

  /** Claims whose outcome is unknown, up to `MAX_LISTED`. */
  async listUnknown (): Promise<readonly ClaimRecord[]> {
    const { table } = this.#options
    const listed = await table.scan(UNKNOWN_PREFIX, undefined, MAX_LISTED)
    if (listed.isErr || listed.value.length === 0) return []
    const keys = listed.value.map((row) => brand<RowKey>(`claim/${row.key.slice(UNKNOWN_PREFIX.length)}`))
    const rows = await table.read(keys)
    if (rows.isErr) return []
    const records = rows.value.map((row) => readClaimRow(row).record).filter((record) => record !== undefined)
    return records.filter((record) => record.state === 'unknown')
  }

  /** Open claims of an ended incarnation, which no later request has settled yet; reads a bounded number of pages. */
  async listOpen (incarnation: Incarnation): Promise<readonly ClaimRecord[]> {
    const { table } = this.#options
    const open: ClaimRecord[] = []
    let cursor: RowKey | undefined
    for (let page = 0; page < PRUNE_PAGES; page++) {
      const rows = await table.scan(`${LOG_PREFIX}${incarnation}/`, cursor, PRUNE_PAGE)
      if (rows.isErr || rows.value.length === 0) break
      const claims = await table.read(rows.value.flatMap((row) => readLogRow(row).keys))
      if (claims.isErr) break
      const records = claims.value.map((row) => readClaimRow(row).record).filter((record) => record !== undefined)
      open.push(...records.filter((record) => record.state === 'claimed' && record.ownerIncarnation === incarnation))
      cursor = rows.value.at(-1)!.key
    }
    return open
  }

  #schedule (): void {
    if (!this.#isRunning) return
    const { clock, random } = this.#options
    this.#timer = clock.after(millis(PRUNE_PERIOD * (1 + random.next())), () => {
      void this.prune().then(() => this.#schedule())
    })
  }

  /** Runs one bounded pass; the next one continues where this one ended. */
  async prune (): Promise<void> {
    for (let page = 0; page < PRUNE_PAGES; page++) {
      const rows = await this.#options.table.scan(LOG_PREFIX, this.#cursor, PRUNE_PAGE)
      if (rows.isErr) return
      this.#cursor = undefined
      for (const row of rows.value) {
        this.#cursor = row.key
        if (await this.#pruneRow(readLogRow(row))) continue
        this.#cursor = endOfIncarnation(row.key)
        break
      }
      if (this.#cursor === undefined) return
    }
  }

  /** Deletes the expired claims of one log row; false if the row is not old enough or the store gave no answer. */
  async #pruneRow ({ row, at, keys }: LogRow): Promise<boolean> {
    const { table, clock, log } = this.#options
    if (clock.wall() - at < CLAIM_RETENTION) return false
    const read = await table.read(keys)
    if (read.isErr) return false
    const claims = read.value.map(readClaimRow).filter((claim) => claim.record !== undefined)
    const isKept = (state: ClaimRecord['state']): boolean => state === 'unknown' || state === 'claimed'
    const expired = claims.filter((claim) => !isKept(claim.record!.state) && clock.wall() - claim.record!.at >= CLAIM_RETENTION)
    const kept = claims.filter((claim) => isKept(claim.record!.state)).map((claim) => claim.key)
    const value = kept.length === 0 ? null : { at, keys: kept }
    if (expired.length === 0 && value !== null) return true
    const written = await table.commit({
      conditions: [{ key: row.key, version: row.version }, ...expired.map(({ key, version }) => ({ key, version }))],
      writes: [{ key: row.key, value }, ...expired.map(({ key }) => ({ key, value: null }))]
    })
    if (written.isOk) log.emit(CLAIMS_EVENTS.claimsPruned, { count: expired.length })
    return true
  }
}

import type { Clock, EpochMillis, RequestId } from '@papayahill/common'
import type { RowKey, StoreError } from '@papayahill/stores'
import { LRUCache } from 'lru-cache'
import type { Result } from 'true-myth'
import { readClaimRow } from './claimRecord.js'
import type { ClaimRow } from './claimRecord.js'
import { MAX_ARRIVALS } from './constants.js'
import type { GroupCommit } from './GroupCommit.js'
import type { PauseGuard } from './PauseGuard.js'

/** When a request came in, and what the store showed of its key then. */
export interface Arrival {
  readonly at: EpochMillis
  readonly read: Promise<Result<ClaimRow, StoreError>>
}

interface Noted {
  /** Undefined right after a pause of the process. */
  readonly arrival: Arrival | undefined
}

/** Reads each request's key when it comes in, for the time when it begins. */
export class Arrivals {
  readonly #clock: Clock
  readonly #commits: GroupCommit
  readonly #pauses: PauseGuard
  readonly #noted = new LRUCache<RequestId, Noted>({ max: MAX_ARRIVALS })

  constructor (clock: Clock, commits: GroupCommit, pauses: PauseGuard) {
    this.#clock = clock
    this.#commits = commits
    this.#pauses = pauses
  }

  note (request: RequestId, key: RowKey): void {
    this.#noted.set(request, { arrival: this.#read(key) })
  }

  /** What was noted of a request; one that was not noted counts as coming in now. */
  take (request: RequestId, key: RowKey): Arrival | undefined {
    const noted = this.#noted.get(request)
    this.#noted.delete(request)
    return noted === undefined ? this.#read(key) : noted.arrival
  }

  #read (key: RowKey): Arrival | undefined {
    if (this.#pauses.isQuiet) return undefined
    return { at: this.#clock.wall(), read: this.#commits.read(key).then((read) => read.map(readClaimRow)) }
  }
}

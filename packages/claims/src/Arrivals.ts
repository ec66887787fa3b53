import type { Clock, EpochMillis, RequestId } from '@papayahill/common'
import type { RowKey, StoreError } from '@papayahill/stores'
import { LRUCache } from 'lru-cache'
import type { Result } from 'true-myth'
import { readClaimRow } from './claimRecord.js'
import type { ClaimRow } from './claimRecord.js'
import { MAX_ARRIVALS } from './constants.js'
import type { GroupCommit } from './GroupCommit.js'
import type { PauseGuard } from './PauseGuard.js'

/** When a request arrived, and the state of its key in the store at that time. */
export interface Arrival {
  readonly at: EpochMillis
  readonly read: Promise<Result<ClaimRow, StoreError>>
}

interface RecordedArrival {
  /** Undefined if the request arrived right after a pause of the process. */
  readonly arrival: Arrival | undefined
}

/** Reads each request's key on arrival and keeps the result until the request begins. */
export class Arrivals {
  readonly #clock: Clock
  readonly #commits: GroupCommit
  readonly #pauseGuard: PauseGuard
  readonly #recorded = new LRUCache<RequestId, RecordedArrival>({ max: MAX_ARRIVALS })

  constructor (clock: Clock, commits: GroupCommit, pauseGuard: PauseGuard) {
    this.#clock = clock
    this.#commits = commits
    this.#pauseGuard = pauseGuard
  }

  record (request: RequestId, key: RowKey): void {
    this.#recorded.set(request, { arrival: this.#read(key) })
  }

  /** Removes and returns the arrival of a request; a request without a recorded one counts as arriving now. */
  take (request: RequestId, key: RowKey): Arrival | undefined {
    const recorded = this.#recorded.get(request)
    this.#recorded.delete(request)
    return recorded === undefined ? this.#read(key) : recorded.arrival
  }

  #read (key: RowKey): Arrival | undefined {
    if (this.#pauseGuard.isBackingOff) return undefined
    return { at: this.#clock.wall(), read: this.#commits.read(key).then((read) => read.map(readClaimRow)) }
  }
}

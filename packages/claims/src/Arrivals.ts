import type { RequestId } from '@papayahill/common'
import type { RowKey, StoreError } from '@papayahill/platform'
import { LRUCache } from 'lru-cache'
import type { Result } from 'true-myth'
import { readClaimRow } from './claimRecord.js'
import type { ClaimRow } from './claimRecord.js'
import { MAX_ARRIVALS } from './constants.js'
import type { GroupCommit } from './GroupCommit.js'
import type { PauseGuard } from './PauseGuard.js'

/** What the store showed of a key when its request came in; undefined right after a pause of the process. */
export type Arrival = Promise<Result<ClaimRow, StoreError>> | undefined

interface Noted {
  readonly arrival: Arrival
}

/** Reads each request's key when it comes in, for the time when it begins. */
export class Arrivals {
  readonly #commits: GroupCommit
  readonly #pauses: PauseGuard
  readonly #noted = new LRUCache<RequestId, Noted>({ max: MAX_ARRIVALS })

  constructor (commits: GroupCommit, pauses: PauseGuard) {
    this.#commits = commits
    this.#pauses = pauses
  }

  note (request: RequestId, key: RowKey): void {
    this.#noted.set(request, { arrival: this.#read(key) })
  }

  /** What was noted of a request; one that was not noted counts as coming in now. */
  take (request: RequestId, key: RowKey): Arrival {
    const noted = this.#noted.get(request)
    this.#noted.delete(request)
    return noted === undefined ? this.#read(key) : noted.arrival
  }

  #read (key: RowKey): Arrival {
    if (this.#pauses.isQuiet) return undefined
    return this.#commits.read(key).then((read) => read.map(readClaimRow))
  }
}

import { millis } from '@papayahill/common'
import type { Clock, EventLog, Millis } from '@papayahill/common'
import { ROLE_PERIOD, ROLE_START_DELAY } from './constants.js'
import { DIRECTORY_EVENTS } from './events.js'
import { isWatcherAt } from './pollTimes.js'
import type { PollPlace } from './pollTimes.js'
import type { TableRelay } from './TableRelay.js'

export interface WatchRoleOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly table: string
  /** Without it, this instance always polls the store. */
  readonly relay: Pick<TableRelay, 'isAlone' | 'placeIn'> | undefined
}

/**
 * Whether this instance polls a table in the store for all others.
 *
 * @example
 * const role = new WatchRole({ clock, log, table: 'endpoints', relay })
 * if (role.check()) await poll()
 */
export class WatchRole {
  readonly #options: WatchRoleOptions
  readonly #startedAt: Millis
  #checkedAt: Millis | undefined
  #isWatcher: boolean
  #place: PollPlace = { rank: 0, instances: 1 }

  constructor (options: WatchRoleOptions) {
    this.#options = options
    this.#startedAt = options.clock.now()
    this.#isWatcher = options.relay === undefined
  }

  /** The role as of the last check. */
  get isWatcher (): boolean {
    return this.#isWatcher
  }

  /** Place in the order of polls as of the last check. */
  get place (): PollPlace {
    return this.#place
  }

  /** The role, determined again every {@link ROLE_PERIOD}. */
  check (): boolean {
    const { clock, log, table, relay } = this.#options
    if (relay === undefined) return true
    const now = clock.now()
    if (this.#checkedAt !== undefined && now - this.#checkedAt < ROLE_PERIOD) return this.#isWatcher
    this.#checkedAt = now
    this.#place = relay.placeIn(table)
    const isWatcher = isWatcherAt(this.#place) && this.#canWatch(relay, now)
    if (isWatcher !== this.#isWatcher) log.emit(DIRECTORY_EVENTS.tableRole, { table, watches: isWatcher, ...this.#place })
    this.#isWatcher = isWatcher
    return isWatcher
  }

  /** Shortly after its start an instance may know too few others to determine the watchers. */
  #canWatch (relay: Pick<TableRelay, 'isAlone'>, now: Millis): boolean {
    const age = millis(now - this.#startedAt)
    return age >= ROLE_START_DELAY || (age >= ROLE_PERIOD && relay.isAlone)
  }
}

import { millis } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import {
  APPLY_RESERVE, BACKUP_STEP, MAX_BACKUP_DELAY, MAX_TURN, MIN_AGE_LIMIT, MIN_WAIT_SHARE, POLL_ALLOWANCE, RELAY_ALLOWANCE, TURN_JITTER,
  WATCHER_COUNT
} from './constants.js'

/** Times of the polls of one table. */
export interface PollTimes {
  /** Time from one watcher's answer to the next watcher's, while nothing changes. */
  readonly turn: Millis
  /** Age of the store's last answer from which backups poll as well. */
  readonly ageLimit: Millis
}

/** Place of an instance in the order in which the instances poll a table. */
export interface PollPlace {
  /** 0 for the first. */
  readonly rank: number
  /** Number of instances in the order, this one included. */
  readonly instances: number
}

/**
 * Times by which a change is in force on all instances within `applyTime` of its commit, also if all watchers lose their
 * paths to the store: the store's last answer before the change is at most `ageLimit` old when a backup polls.
 *
 * @example
 * const { turn, ageLimit } = pollTimesOf(millis(2000))
 */
export const pollTimesOf = (applyTime: Millis): PollTimes => {
  const usable = applyTime * (1 - APPLY_RESERVE)
  const ageLimit = Math.max(MIN_AGE_LIMIT, usable - MAX_BACKUP_DELAY - POLL_ALLOWANCE - RELAY_ALLOWANCE)
  return { turn: millis(Math.min(MAX_TURN, ageLimit - TURN_JITTER)), ageLimit: millis(ageLimit) }
}

/** Whether the instance at a place polls the table for all others. */
export const isWatcherAt = ({ rank }: PollPlace): boolean => rank < WATCHER_COUNT

/**
 * Time for which a backup waits beyond the age limit. The number of backups whose wait is over doubles with each step, so
 * that few poll if the first ones are answered, and all have polled after a short time if none is.
 *
 * @example
 * backupDelayOf({ rank: 3, instances: 9 }) // 0: the first behind the watchers
 */
export const backupDelayOf = ({ rank }: PollPlace): Millis => {
  const position = Math.max(0, rank - WATCHER_COUNT)
  return millis(Math.min(MAX_BACKUP_DELAY, Math.floor(Math.log2(position + 1)) * BACKUP_STEP))
}

/**
 * Wait of a watcher's next poll. Without a change it ends in the watcher's own turn by the store's clock, so that the
 * answers to all watchers are spread evenly over time.
 *
 * @example
 * pollWaitOf({ rank: 1, instances: 9 }, millis(1000), millis(600)) // 400; the next one is 3000
 */
export const pollWaitOf = ({ rank, instances }: PollPlace, turn: Millis, storeTime: Millis | undefined): Millis => {
  const cycle = turn * Math.min(WATCHER_COUNT, instances)
  if (storeTime === undefined) return millis(cycle)
  const sinceTurn = (storeTime - rank * turn) % cycle
  const untilTurn = sinceTurn > 0 ? cycle - sinceTurn : -sinceTurn
  return millis(Math.round(untilTurn < turn * MIN_WAIT_SHARE ? untilTurn + cycle : untilTurn))
}

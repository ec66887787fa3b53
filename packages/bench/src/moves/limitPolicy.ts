import type { StageRecord, VersionId } from '@papayahill/common'
import { ROLLOUT_EVENTS } from '@papayahill/rollout'
import { makeFixedSchedule } from './fixedSchedule.js'
import { NEW, OLD, SERVICE } from './MoveRig.js'
import type { Policy, PolicyMaker, PolicyParts } from './MoveRig.js'

const MAX_FAILED_SHARE = 0.05
const MAX_TIME_FACTOR = 2
const MIN_CALLS = 50
/** Least weight of a new call in a mean, so that it forgets. */
const LEAST_WEIGHT = 0.01

/** The mean of a hundred calls or so. */
class RecentMean {
  calls = 0
  value = 0

  add (value: number): void {
    this.calls++
    const weight = Math.max(1 / this.calls, LEAST_WEIGHT)
    this.value += weight * (value - this.value)
  }
}

/** Moves by schedule and takes back above fixed limits: a share of failures, and times against those before the move. */
class LimitPolicy implements Policy {
  readonly #schedule: Policy
  readonly #parts: PolicyParts
  readonly #failed = new RecentMean()
  readonly #took = new RecentMean()
  readonly #before = new RecentMean()
  #isTakenBack = false

  constructor (parts: PolicyParts) {
    this.#parts = parts
    this.#schedule = makeFixedSchedule(parts)
  }

  start (): void {
    this.#schedule.start()
  }

  stop (): void {}

  versionsFor (): readonly VersionId[] {
    return this.#isTakenBack ? [OLD] : this.#schedule.versionsFor(SERVICE, this.#parts.scenario.routes[0]!.route)
  }

  status (): ReturnType<Policy['status']> {
    return this.#schedule.status()
  }

  stageEnded ({ version, outcome, took }: StageRecord): void {
    const isMoving = this.#parts.config.view().config.moves.has(SERVICE)
    if (version === OLD && !isMoving) this.#before.add(took)
    if (version !== NEW || !isMoving) return
    this.#failed.add(outcome === 'done' ? 0 : 1)
    this.#took.add(took)
    const isSlow = this.#before.calls > 0 && this.#took.value > MAX_TIME_FACTOR * this.#before.value
    if (this.#failed.calls >= MIN_CALLS && (isSlow || this.#failed.value > MAX_FAILED_SHARE)) this.#takeBack()
  }

  requestEnded (): void {}

  #takeBack (): void {
    if (this.#isTakenBack) return
    this.#isTakenBack = true
    this.#parts.events.emit(ROLLOUT_EVENTS.moveTakenBack, { service: SERVICE, version: NEW })
  }
}

export const makeLimitPolicy: PolicyMaker = (parts) => new LimitPolicy(parts)

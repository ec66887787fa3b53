import { millis, seconds } from '@papayahill/common'
import type { CallOutcome, ClassId, Clock, EventLog, Millis } from '@papayahill/common'
import type { EndpointEntry } from './EndpointEntry.js'
import { ENDPOINTS_EVENTS } from './events.js'
import type { ServicePool } from './ServicePool.js'

const FAILURES_IN_ROW = 5
const FAIL_SHARE = 0.5
/** From this share of failures at the typical other endpoint on, the fault is a general one. */
const GENERAL_FAIL_SHARE = 0.25
const CALLS_MIN = 8
/** A mean time this many times that of the typical endpoint of the service is a fault. */
const SLOW_FACTOR = 3
/** A call this many times longer than the mean is stuck. */
const STUCK_FACTOR = 10
const STUCK_MIN = seconds(1)
/** Share of a service's endpoints of a version that one instance may eject. */
const EJECTED_SHARE = 0.34
const FIRST_EJECTION = seconds(5)
const LAST_EJECTION = seconds(60)
/** Calls at once from which on a re-admitted endpoint counts as proven. */
const PROVEN_PROBATION = 8

const IS_GOOD: Readonly<Partial<Record<CallOutcome, boolean>>> = {
  done: true, failed: false, 'timed-out': false, cut: false, crossed: false
}

/** How one call ended. */
export interface EndedCall {
  readonly class: ClassId
  readonly outcome: CallOutcome
  readonly took: Millis
}

interface Ejection {
  readonly until: Millis
  readonly span: Millis
}

export interface OutlierJudgeOptions {
  readonly clock: Clock
  readonly log: EventLog
}

/** The other connected endpoints of the same version. */
const likes = (pool: ServicePool, entry: EndpointEntry): readonly EndpointEntry[] =>
  [...pool.entries].filter((other) => other !== entry && other.listed.version === entry.listed.version &&
    (other.isEjected || other.state === 'warm' || other.state === 'cold'))

const medianOf = (values: readonly number[]): number | undefined =>
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)]

/** Whether the like fail as well: then the fault is not the endpoint's, and ejection would only take capacity. */
const isFaultGeneral = (pool: ServicePool, entry: EndpointEntry): boolean =>
  (medianOf(likes(pool, entry).map((other) => other.stats.failShare)) ?? 0) >= GENERAL_FAIL_SHARE

const isStuck = (entry: EndpointEntry, now: Millis): boolean =>
  entry.typicalCall > 0 && entry.oldestAge(now) > Math.max(STUCK_MIN, STUCK_FACTOR * entry.typicalCall)

const mayEject = (pool: ServicePool, entry: EndpointEntry): boolean => {
  const others = likes(pool, entry)
  const ejected = others.filter((other) => other.isEjected).length
  return ejected + 1 <= (others.length + 1) * EJECTED_SHARE
}

/**
 * Takes endpoints out of use that fail, hang or answer far slower than the others of their service, keeps
 * most of them in use whatever happens, and lets them prove themselves again call by call.
 *
 * @example
 * judge.ended(pool, entry, { class: classId, outcome: 'failed', took: millis(40) })
 * judge.lookOver(pool)
 */
export class OutlierJudge {
  readonly #options: OutlierJudgeOptions
  readonly #ejections = new Map<EndpointEntry, Ejection>()

  constructor (options: OutlierJudgeOptions) {
    this.#options = options
  }

  /** Takes the outcome of a call. */
  ended (pool: ServicePool, entry: EndpointEntry, call: EndedCall): void {
    const isGood = IS_GOOD[call.outcome]
    if (isGood === undefined) return
    const relative = isGood ? pool.took(call.class, call.took) : 0
    entry.stats.add(isGood, relative)
    if (isGood) entry.warmLimit.add(relative, entry.isBusy())
    this.#prove(pool, entry, isGood)
    if (!isGood) this.#judge(pool, entry)
  }

  /** Judges all endpoints of a service, and re-admits those whose time is over or whose fault is everyone's. */
  lookOver (pool: ServicePool): void {
    const now = this.#options.clock.now()
    for (const entry of pool.entries) {
      const ejection = this.#ejections.get(entry)
      if (!entry.isEjected) this.#judge(pool, entry)
      else if (ejection === undefined || now >= ejection.until) this.#admit(entry, 1)
      else if (isFaultGeneral(pool, entry)) this.#admit(entry, Infinity)
    }
  }

  forget (entry: EndpointEntry): void {
    this.#ejections.delete(entry)
    entry.isEjected = false
  }

  #judge (pool: ServicePool, entry: EndpointEntry): void {
    const cause = entry.isEjected ? undefined : this.#fault(pool, entry)
    if (cause !== undefined) this.#eject(pool, entry, cause)
  }

  #eject (pool: ServicePool, entry: EndpointEntry, cause: string): void {
    if (!mayEject(pool, entry)) return
    const before = this.#ejections.get(entry)?.span
    const span = millis(before === undefined ? FIRST_EJECTION : Math.min(LAST_EJECTION, before * 2))
    this.#ejections.set(entry, { until: millis(this.#options.clock.now() + span), span })
    entry.isEjected = true
    this.#options.log.emit(ENDPOINTS_EVENTS.endpointEjected, { endpoint: entry.listed.id, cause, forMs: span })
  }

  #fault (pool: ServicePool, entry: EndpointEntry): string | undefined {
    const { stats } = entry
    const isFailing = stats.failedInRow >= FAILURES_IN_ROW || (stats.count >= CALLS_MIN && stats.failShare > FAIL_SHARE)
    if (isFailing && !isFaultGeneral(pool, entry)) return 'failures'
    const now = this.#options.clock.now()
    if (isStuck(entry, now) && !likes(pool, entry).every((other) => isStuck(other, now))) return 'stuck calls'
    const typical = medianOf(likes(pool, entry).map((other) => other.stats.mean).filter((mean) => mean > 0))
    return stats.count >= CALLS_MIN && typical !== undefined && stats.mean > SLOW_FACTOR * typical ? 'slow' : undefined
  }

  #admit (entry: EndpointEntry, probation: number): void {
    entry.isEjected = false
    entry.probation = probation
    entry.stats.clear()
    this.#options.log.emit(ENDPOINTS_EVENTS.endpointReadmitted, { endpoint: entry.listed.id })
  }

  /** A re-admitted endpoint gets one call more with each good one, and is ejected for longer by a failure. */
  #prove (pool: ServicePool, entry: EndpointEntry, isGood: boolean): void {
    if (entry.probation === Infinity || entry.isEjected) return
    if (!isGood && !isFaultGeneral(pool, entry)) return this.#eject(pool, entry, 'failed again')
    entry.probation = isGood ? entry.probation + 1 : 1
    if (entry.probation < PROVEN_PROBATION) return
    entry.probation = Infinity
    this.#ejections.delete(entry)
  }
}

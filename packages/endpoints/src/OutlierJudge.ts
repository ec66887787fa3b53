import { millis, seconds } from '@papayahill/common'
import type { CallOutcome, ClassId, Clock, EventLog, Millis } from '@papayahill/common'
import type { EndpointEntry } from './EndpointEntry.js'
import { ENDPOINTS_EVENTS } from './events.js'
import type { ServicePool } from './ServicePool.js'

const FAILURES_IN_ROW = 5
const FAIL_SHARE = 0.5
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
    this.#prove(entry, isGood)
    if (!isGood) this.#judge(pool, entry)
  }

  /** Judges all endpoints of a service, and re-admits those whose time is over. */
  lookOver (pool: ServicePool): void {
    const now = this.#options.clock.now()
    for (const entry of pool.entries) {
      const ejection = this.#ejections.get(entry)
      if (entry.isEjected && ejection !== undefined && now >= ejection.until) this.#admit(entry)
      else this.#judge(pool, entry)
    }
  }

  forget (entry: EndpointEntry): void {
    this.#ejections.delete(entry)
  }

  #judge (pool: ServicePool, entry: EndpointEntry): void {
    const cause = entry.isEjected ? undefined : this.#fault(pool, entry)
    if (cause === undefined || !this.#mayEject(pool, entry)) return
    const before = this.#ejections.get(entry)?.span
    const span = millis(before === undefined ? FIRST_EJECTION : Math.min(LAST_EJECTION, before * 2))
    this.#ejections.set(entry, { until: millis(this.#options.clock.now() + span), span })
    entry.isEjected = true
    this.#options.log.emit(ENDPOINTS_EVENTS.endpointEjected, { endpoint: entry.listed.id, cause, forMs: span })
  }

  #fault (pool: ServicePool, entry: EndpointEntry): string | undefined {
    const { stats } = entry
    if (stats.failedInRow >= FAILURES_IN_ROW) return 'failures in a row'
    if (stats.count >= CALLS_MIN && stats.failShare > FAIL_SHARE) return 'share of failures'
    if (this.#isStuck(entry)) return 'stuck calls'
    return stats.count >= CALLS_MIN && stats.mean > SLOW_FACTOR * this.#typicalMean(pool, entry) ? 'slow' : undefined
  }

  #isStuck (entry: EndpointEntry): boolean {
    if (entry.typicalCall === 0) return false
    return entry.oldestAge(this.#options.clock.now()) > Math.max(STUCK_MIN, STUCK_FACTOR * entry.typicalCall)
  }

  /** Median of the means of the other endpoints of that version; Infinity where there is none to compare with. */
  #typicalMean (pool: ServicePool, entry: EndpointEntry): number {
    const means = [...pool.entries]
      .filter((other) => other !== entry && other.listed.version === entry.listed.version && other.stats.mean > 0)
      .map((other) => other.stats.mean)
      .sort((left, right) => left - right)
    return means[Math.floor(means.length / 2)] ?? Infinity
  }

  #mayEject (pool: ServicePool, entry: EndpointEntry): boolean {
    const same = [...pool.entries].filter((other) => other.listed.version === entry.listed.version &&
      (other.isEjected || other.state === 'warm' || other.state === 'cold'))
    const ejected = same.filter((other) => other.isEjected).length
    return ejected + 1 <= same.length * EJECTED_SHARE
  }

  #admit (entry: EndpointEntry): void {
    entry.isEjected = false
    entry.probation = 1
    entry.stats.clear()
    this.#options.log.emit(ENDPOINTS_EVENTS.endpointReadmitted, { endpoint: entry.listed.id })
  }

  #prove (entry: EndpointEntry, isGood: boolean): void {
    if (entry.probation === Infinity) return
    entry.probation = isGood ? entry.probation + 1 : 1
    if (entry.probation < PROVEN_PROBATION) return
    entry.probation = Infinity
    this.#ejections.delete(entry)
  }
}

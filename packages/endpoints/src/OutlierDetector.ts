import { millis, seconds } from '@papayahill/common'
import type { CallOutcome, ClassId, Clock, EventLog, Millis } from '@papayahill/common'
import type { EndpointEntry } from './EndpointEntry.js'
import { ENDPOINTS_EVENTS } from './events.js'
import type { ServicePool } from './ServicePool.js'

const MAX_FAILURES_IN_ROW = 5
const MAX_FAIL_SHARE = 0.5
/** Median share of failures of the other endpoints from which the fault is considered widespread. */
const WIDESPREAD_FAIL_SHARE = 0.25
const MIN_CALLS = 8
/** A mean time this many times the median of the other endpoints is a fault. */
const SLOW_FACTOR = 3
/** A call this many times longer than the mean is considered stuck. */
const STUCK_FACTOR = 10
const MIN_STUCK_TIME = seconds(1)
/** Maximum share of a service's endpoints of one version that one instance may eject. */
const MAX_EJECTED_SHARE = 0.34
const MIN_EJECTION = seconds(5)
const MAX_EJECTION = seconds(60)
/** Concurrent calls at which the probation of a readmitted endpoint ends. */
const PROVEN_PROBATION = 8

const IS_GOOD: Readonly<Partial<Record<CallOutcome, boolean>>> = {
  done: true, failed: false, 'timed-out': false, cut: false, crossed: false
}

/** Result of one call. */
export interface EndedCall {
  readonly class: ClassId
  readonly outcome: CallOutcome
  readonly took: Millis
}

interface Ejection {
  readonly until: Millis
  readonly span: Millis
}

export interface OutlierDetectorOptions {
  readonly clock: Clock
  readonly log: EventLog
}

/** The other connected endpoints of the same version. */
const siblingsOf = (pool: ServicePool, entry: EndpointEntry): readonly EndpointEntry[] =>
  [...pool.entries].filter((other) => other !== entry && other.listed.version === entry.listed.version &&
    (other.isEjected || other.state === 'warm' || other.state === 'cold'))

const medianOf = (values: readonly number[]): number | undefined =>
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)]

/** Whether the other endpoints fail as well: then the cause is not this endpoint, and ejection would only reduce capacity. */
const isFaultWidespread = (pool: ServicePool, entry: EndpointEntry): boolean =>
  (medianOf(siblingsOf(pool, entry).map((other) => other.stats.failShare)) ?? 0) >= WIDESPREAD_FAIL_SHARE

const isStuck = (entry: EndpointEntry, now: Millis): boolean =>
  entry.typicalCall > 0 && entry.oldestAge(now) > Math.max(MIN_STUCK_TIME, STUCK_FACTOR * entry.typicalCall)

const canEject = (pool: ServicePool, entry: EndpointEntry): boolean => {
  const others = siblingsOf(pool, entry)
  const ejected = others.filter((other) => other.isEjected).length
  return ejected + 1 <= (others.length + 1) * MAX_EJECTED_SHARE
}

/**
 * Ejects endpoints that fail, hang or answer far slower than the others of their service, keeps most of them in
 * use in any case, and readmits ejected ones with a slowly increasing number of calls.
 *
 * @example
 * detector.recordCall(pool, entry, { class: classId, outcome: 'failed', took: millis(40) })
 * detector.evaluate(pool)
 */
export class OutlierDetector {
  readonly #options: OutlierDetectorOptions
  readonly #ejections = new Map<EndpointEntry, Ejection>()

  constructor (options: OutlierDetectorOptions) {
    this.#options = options
  }

  /** Records the outcome of a call. */
  recordCall (pool: ServicePool, entry: EndpointEntry, call: EndedCall): void {
    const isGood = IS_GOOD[call.outcome]
    if (isGood === undefined) return
    const relative = isGood ? pool.recordCallTime(call.class, call.took) : 0
    entry.stats.add(isGood, relative)
    if (isGood) entry.warmLimit.add(relative, entry.isBusy())
    this.#updateProbation(pool, entry, isGood)
    if (!isGood) this.#ejectIfFaulty(pool, entry)
  }

  /** Checks all endpoints of a service, and readmits those whose ejection is over or whose fault is widespread. */
  evaluate (pool: ServicePool): void {
    const now = this.#options.clock.now()
    for (const entry of pool.entries) {
      const ejection = this.#ejections.get(entry)
      if (!entry.isEjected) this.#ejectIfFaulty(pool, entry)
      else if (ejection === undefined || now >= ejection.until) this.#readmit(entry, 1)
      else if (isFaultWidespread(pool, entry)) this.#readmit(entry, Infinity)
    }
  }

  forget (entry: EndpointEntry): void {
    this.#ejections.delete(entry)
    entry.isEjected = false
  }

  #ejectIfFaulty (pool: ServicePool, entry: EndpointEntry): void {
    const cause = entry.isEjected ? undefined : this.#detectFault(pool, entry)
    if (cause !== undefined) this.#eject(pool, entry, cause)
  }

  #eject (pool: ServicePool, entry: EndpointEntry, cause: string): void {
    if (!canEject(pool, entry)) return
    const before = this.#ejections.get(entry)?.span
    const span = millis(before === undefined ? MIN_EJECTION : Math.min(MAX_EJECTION, before * 2))
    this.#ejections.set(entry, { until: millis(this.#options.clock.now() + span), span })
    entry.isEjected = true
    this.#options.log.emit(ENDPOINTS_EVENTS.endpointEjected, { endpoint: entry.listed.id, cause, forMs: span })
  }

  #detectFault (pool: ServicePool, entry: EndpointEntry): string | undefined {
    const { stats } = entry
    const isFailing = stats.failedInRow >= MAX_FAILURES_IN_ROW || (stats.count >= MIN_CALLS && stats.failShare > MAX_FAIL_SHARE)
    if (isFailing && !isFaultWidespread(pool, entry)) return 'failures'
    const now = this.#options.clock.now()
    if (isStuck(entry, now) && !siblingsOf(pool, entry).every((other) => isStuck(other, now))) return 'stuck calls'
    const typical = medianOf(siblingsOf(pool, entry).map((other) => other.stats.mean).filter((mean) => mean > 0))
    return stats.count >= MIN_CALLS && typical !== undefined && stats.mean > SLOW_FACTOR * typical ? 'slow' : undefined
  }

  #readmit (entry: EndpointEntry, probation: number): void {
    entry.isEjected = false
    entry.probation = probation
    entry.stats.clear()
    this.#options.log.emit(ENDPOINTS_EVENTS.endpointReadmitted, { endpoint: entry.listed.id })
  }

  /** On probation, each successful call allows one more concurrent call; a failure causes a longer ejection. */
  #updateProbation (pool: ServicePool, entry: EndpointEntry, isGood: boolean): void {
    if (entry.probation === Infinity || entry.isEjected) return
    if (!isGood && !isFaultWidespread(pool, entry)) return this.#eject(pool, entry, 'failed again')
    entry.probation = isGood ? entry.probation + 1 : 1
    if (entry.probation < PROVEN_PROBATION) return
    entry.probation = Infinity
    this.#ejections.delete(entry)
  }
}

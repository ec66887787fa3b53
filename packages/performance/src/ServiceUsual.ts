import { MAX_WORK_KEYS, MEAN_WEIGHT, USUAL_TIME_WEIGHT } from './constants.js'
import type { Work, WorkKind } from './types.js'

interface UsualTime {
  logTime: number
  calls: number
}

const nameOf = ({ kind, key }: Work): string => `${kind} ${key}`

/** The usual time of each key of work at a service, and the mean level of its endpoints. */
export class ServiceUsual {
  /** The one that was learnt least recently is first. */
  readonly #times = new Map<string, UsualTime>()
  readonly #levels = new Map<WorkKind, number>()

  /** Number of keys whose times are kept. */
  get size (): number {
    return this.#times.size
  }

  /** Usual time of the work at an endpoint of level 0; undefined before its first call. */
  usualTime (work: Work): number | undefined {
    const known = this.#times.get(nameOf(work))
    return known === undefined ? undefined : Math.exp(known.logTime) * work.amount
  }

  /** Usual time of one unit of the work; `first` if this is its first call. */
  timeOf (work: Work, first: number): number {
    const known = this.#times.get(nameOf(work))
    if (known !== undefined) return Math.exp(known.logTime)
    this.#times.set(nameOf(work), { logTime: Math.log(first), calls: 0 })
    this.#dropOldest()
    return first
  }

  /** Takes in a call's deviation from the expected time. */
  learn (work: Work, deviation: number): void {
    const known = this.#times.get(nameOf(work))
    if (known === undefined) return
    this.#times.delete(nameOf(work))
    this.#times.set(nameOf(work), known)
    known.calls++
    known.logTime += Math.max(USUAL_TIME_WEIGHT, 1 / (known.calls + 1)) * deviation
  }

  /** Mean level of the endpoints, weighted by calls. */
  meanLevel (kind: WorkKind): number {
    return this.#levels.get(kind) ?? 0
  }

  learnLevel (kind: WorkKind, level: number): void {
    const mean = this.meanLevel(kind)
    this.#levels.set(kind, mean + MEAN_WEIGHT * (level - mean))
  }

  /** Keys are names of routes, which change with configurations. */
  #dropOldest (): void {
    const [oldest] = this.#times.keys()
    if (this.#times.size > MAX_WORK_KEYS && oldest !== undefined) this.#times.delete(oldest)
  }
}

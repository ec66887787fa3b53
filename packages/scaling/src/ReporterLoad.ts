import { MILLIS_PER_SECOND, millis } from '@papayahill/common'
import type { DomainId, Incarnation, Millis, ServiceId } from '@papayahill/common'
import { RATE_WINDOW } from './constants.js'
import type { LoadEntry, LoadReport } from './loadMessages.js'
import type { LoadSample } from './types.js'

interface EntryState {
  readonly service: ServiceId
  readonly domain: DomainId
  entry: LoadEntry
  begunPerSecond: number
  refusedPerSecond: number
  arrivedPerSecond: number
  newestPerSecond: number
}

/** The load of one incarnation of an instance, as it last reported it. */
export class ReporterLoad {
  readonly #from: Incarnation
  readonly #states = new Map<number, EntryState>()
  /** The sender's time of its newest report. */
  #elapsed: Millis | undefined
  #heardAt: Millis

  constructor (from: Incarnation, at: Millis) {
    this.#from = from
    this.#heardAt = at
  }

  /** Time since it was last heard of. */
  age (now: Millis): Millis {
    return millis(Math.max(0, now - this.#heardAt))
  }

  /** Applies a report that was received at a time; one that is older than the newest is dropped. */
  apply ({ elapsed, entries }: LoadReport, at: Millis): void {
    if (this.#elapsed !== undefined && elapsed <= this.#elapsed) return
    const since = millis(elapsed - (this.#elapsed ?? elapsed))
    this.#elapsed = elapsed
    this.#heardAt = at
    const byIndex = new Map(entries.map((entry) => [entry.index, entry]))
    for (const [index, state] of this.#states) this.#update(state, byIndex.get(index) ?? state.entry, since)
    for (const entry of entries) this.#add(entry)
  }

  samples (service: ServiceId, now: Millis): readonly LoadSample[] {
    return [...this.#states.values()].filter((state) => state.service === service).map((state) => this.#sampleOf(state, now))
  }

  #add (entry: LoadEntry): void {
    if (entry.names === undefined || this.#states.has(entry.index)) return
    const rates = { begunPerSecond: 0, refusedPerSecond: 0, arrivedPerSecond: 0, newestPerSecond: 0 }
    this.#states.set(entry.index, { ...entry.names, ...rates, entry })
  }

  /** Rates are exponential means over the rate window, by the sender's own time, which a slow link does not distort. */
  #update (state: EntryState, entry: LoadEntry, since: Millis): void {
    const weight = 1 - Math.exp(-since / RATE_WINDOW)
    const { entry: older } = state
    const rateOf = (change: number): number => Math.max(0, change) * MILLIS_PER_SECOND / since
    const [begun, refused] = [entry.begun - older.begun, entry.refused - older.refused]
    state.begunPerSecond += weight * (rateOf(begun) - state.begunPerSecond)
    state.refusedPerSecond += weight * (rateOf(refused) - state.refusedPerSecond)
    state.newestPerSecond = rateOf(begun + refused + entry.waiting - older.waiting)
    state.arrivedPerSecond += weight * (state.newestPerSecond - state.arrivedPerSecond)
    state.entry = entry
  }

  #sampleOf ({ domain, entry, service: _service, ...rates }: EntryState, now: Millis): LoadSample {
    const { running, waiting, holdTime } = entry
    return { ...rates, from: this.#from, domain, age: this.age(now), running, waiting, holdTime }
  }
}

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
  readonly #byService = new Map<ServiceId, EntryState[]>()
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
    for (const [index, state] of this.#states) this.#update(state, entries.find((entry) => entry.index === index) ?? state.entry, since)
    for (const entry of entries) this.#add(entry)
  }

  /** Adds its samples of a service to a list. */
  addSamples (service: ServiceId, now: Millis, samples: LoadSample[]): void {
    const states = this.#byService.get(service)
    if (states === undefined) return
    const age = this.age(now)
    for (const state of states) samples.push(this.#sampleOf(state, age))
  }

  #add (entry: LoadEntry): void {
    if (entry.names === undefined || this.#states.has(entry.index)) return
    const rates = { begunPerSecond: 0, refusedPerSecond: 0, arrivedPerSecond: 0, newestPerSecond: 0 }
    const state = { ...entry.names, ...rates, entry }
    this.#states.set(entry.index, state)
    const siblings = this.#byService.get(state.service) ?? []
    siblings.push(state)
    this.#byService.set(state.service, siblings)
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

  #sampleOf (state: EntryState, age: Millis): LoadSample {
    const { domain, entry, begunPerSecond, refusedPerSecond, arrivedPerSecond, newestPerSecond } = state
    const { running, waiting, holdTime } = entry
    return {
      from: this.#from, domain, age, running, waiting, begunPerSecond, refusedPerSecond, arrivedPerSecond, newestPerSecond, holdTime
    }
  }
}

import type { Clock } from './Clock.js'
import type { EventFields, EventKind, EventLog, EventRecord } from './events.js'

/**
 * Records events in memory, for tests, benches and golden sessions.
 *
 * @example
 * const events = new EventRecorder(clock)
 * events.records.filter((record) => record.kind.number === 2101)
 */
export class EventRecorder implements EventLog {
  readonly #clock: Clock
  readonly #records: EventRecord[] = []

  constructor (clock: Clock) {
    this.#clock = clock
  }

  get records (): readonly EventRecord[] {
    return this.#records
  }

  emit (kind: EventKind, fields: EventFields = {}): void {
    this.#records.push({ at: this.#clock.wall(), kind, fields })
  }
}

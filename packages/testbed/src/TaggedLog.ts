import type { EventFields, EventKind, EventLog, InstanceId } from '@papayahill/common'

/** Writes each event with the instance it came from, as the log of one process does. */
export class TaggedLog implements EventLog {
  readonly #log: EventLog
  readonly #instance: InstanceId

  constructor (log: EventLog, instance: InstanceId) {
    this.#log = log
    this.#instance = instance
  }

  emit (kind: EventKind, fields: EventFields = {}): void {
    this.#log.emit(kind, { by: this.#instance, ...fields })
  }
}

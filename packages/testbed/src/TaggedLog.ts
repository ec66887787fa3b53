import type { EventFields, EventKind, EventLog, InstanceId } from '@papayahill/common'

/** Adds the emitting instance to each event, as the log of a separate process would. */
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

import type { DomainId } from '@papayahill/common'
import type { ChangeLog } from './ChangeLog.js'
import type { Latch, WriteId } from './logRecords.js'

/** Holds the latches that take domains out and are not recorded in the log yet. */
export class LatchRegistry {
  readonly #log: ChangeLog
  readonly #latches = new Map<WriteId, Latch>()

  constructor (log: ChangeLog) {
    this.#log = log
  }

  /** Adds a latch; false if it is already known or recorded in the log. */
  add (latch: Latch): boolean {
    if (this.#latches.has(latch.id) || this.isRecorded(latch.id)) return false
    this.#latches.set(latch.id, latch)
    return true
  }

  isRecorded (id: WriteId): boolean {
    return this.#log.state.recorded.includes(id)
  }

  /** Drops latches on domains that are no longer in the configuration. */
  dropWithoutDomain (): void {
    for (const latch of this.all()) {
      if (!this.#log.state.config.domains.has(latch.domain)) this.#latches.delete(latch.id)
    }
  }

  /** Drops and returns the latches that are recorded in the log. */
  dropRecorded (): readonly Latch[] {
    const recorded = [...this.#latches.values()].filter((latch) => this.isRecorded(latch.id))
    for (const latch of recorded) this.#latches.delete(latch.id)
    return recorded
  }

  all (): readonly Latch[] {
    return [...this.#latches.values()]
  }

  domains (): ReadonlySet<DomainId> {
    return new Set(this.all().map((latch) => latch.domain))
  }
}

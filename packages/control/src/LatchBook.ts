import type { DomainId } from '@papayahill/common'
import type { ChangeLog } from './ChangeLog.js'
import type { Latch, WriteId } from './logRecords.js'

/** Domains that are out by latch and not yet recorded in the log. */
export class LatchBook {
  readonly #log: ChangeLog
  readonly #latches = new Map<WriteId, Latch>()

  constructor (log: ChangeLog) {
    this.#log = log
  }

  /** Sets a latch; false where it is known or the log has recorded it. */
  add (latch: Latch): boolean {
    if (this.#latches.has(latch.id) || this.isRecorded(latch.id)) return false
    this.#latches.set(latch.id, latch)
    return true
  }

  isRecorded (id: WriteId): boolean {
    return this.#log.state.recorded.includes(id)
  }

  /** Lets go of latches on domains that the configuration no longer has. */
  dropWithoutDomain (): void {
    for (const latch of this.all()) {
      if (!this.#log.state.config.domains.has(latch.domain)) this.#latches.delete(latch.id)
    }
  }

  /** Lets go of latches that the log has recorded; gives them back. */
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

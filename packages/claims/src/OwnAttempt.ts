import type { Clock, EventLog, Millis } from '@papayahill/common'
import type { RowKey } from '@papayahill/stores'
import { withOutcome } from './claimRecord.js'
import type { ClaimRecord } from './claimRecord.js'
import { MAX_FINISH_WAIT, BACKUP_AFTER, BACKUP_RETRY_DELAY, BACKUP_COPIES, MAX_RELEASE_TIME } from './constants.js'
import { CLAIMS_EVENTS } from './events.js'
import type { LocalAttempt } from './LocalAttempt.js'
import type { OutcomeBackup } from './OutcomeBackup.js'
import type { OutcomeWriter } from './OutcomeWriter.js'
import type { ClaimAttempt, ClaimOutcome } from './types.js'

export interface OwnAttemptOptions {
  readonly key: RowKey
  readonly local: LocalAttempt
  /** Whether no other request can ever use the key. */
  readonly isKeyless: boolean
  readonly clock: Clock
  readonly writer: OutcomeWriter
  readonly backup: OutcomeBackup
  readonly log: EventLog
  /** Called once the attempt's end is in the store, or once it is certain that nothing was sent. */
  readonly onEnded: () => void
}

/** The `ClaimAttempt` given to the pipeline of a claimed request. */
export class OwnAttempt implements ClaimAttempt {
  readonly #options: OwnAttemptOptions

  constructor (options: OwnAttemptOptions) {
    this.#options = options
  }

  dispatch (): boolean {
    const { local, log } = this.#options
    const canSend = local.dispatch()
    if (!canSend && local.isLapsed) log.emit(CLAIMS_EVENTS.leaseLapsed, { workspace: local.record.workspace })
    return canSend
  }

  async markNotSent (): Promise<boolean> {
    const { local, isKeyless, clock, onEnded } = this.#options
    if (!local.finish({ kind: 'not-sent' })) return false
    onEnded()
    const released = this.#write({ ...local.record, state: 'released', at: clock.wall() })
    if (isKeyless) return true
    return await Promise.race([released, clock.sleep(MAX_RELEASE_TIME).then(() => false)])
  }

  async finish (outcome: ClaimOutcome): Promise<void> {
    const { local } = this.#options
    if (!local.finish({ kind: 'outcome', outcome })) return
    await this.#persist(withOutcome(local.record, outcome))
  }

  async markLost (): Promise<void> {
    const { local, clock, log } = this.#options
    if (!local.finish({ kind: 'lost' })) return
    log.emit(CLAIMS_EVENTS.claimUnknown, { workspace: local.record.workspace, service: local.record.service })
    await Promise.race([this.#write({ ...local.record, state: 'unknown' }), clock.sleep(MAX_FINISH_WAIT)])
  }

  /** Writes the record to the store and, if that takes long, backs it up to peers; returns once either succeeded. */
  async #persist (record: ClaimRecord): Promise<void> {
    const { clock, backup, log } = this.#options
    const written = this.#write(record)
    const isWrittenWithin = (limit: Millis): Promise<boolean> =>
      Promise.race([written.then(() => true), clock.sleep(limit).then(() => false)])
    for (let isFirst = true; !await isWrittenWithin(isFirst ? BACKUP_AFTER : BACKUP_RETRY_DELAY); isFirst = false) {
      const holders = await backup.replicate(record)
      if (isFirst) void written.then(() => backup.notifyWritten(record))
      if (holders >= BACKUP_COPIES) return log.emit(CLAIMS_EVENTS.outcomeHeld, { holders })
      if (isFirst) log.emit(CLAIMS_EVENTS.outcomeUnheld, { holders })
    }
  }

  async #write (record: ClaimRecord): Promise<boolean> {
    const { writer, key, local, onEnded } = this.#options
    const isOurs = await writer.write(key, local.version, record)
    onEnded()
    return isOurs
  }
}

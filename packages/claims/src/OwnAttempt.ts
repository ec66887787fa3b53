import type { Clock, EventLog } from '@papayahill/common'
import type { RowKey } from '@papayahill/platform'
import { withOutcome } from './claimRecord.js'
import type { ClaimRecord } from './claimRecord.js'
import { FINISH_WAIT, HOLD_AFTER, HOLDERS } from './constants.js'
import { CLAIMS_EVENTS } from './events.js'
import type { LocalAttempt } from './LocalAttempt.js'
import type { OutcomeHolder } from './OutcomeHolder.js'
import type { OutcomeWriter } from './OutcomeWriter.js'
import type { ClaimAttempt, ClaimOutcome } from './types.js'

export interface OwnAttemptOptions {
  readonly key: RowKey
  readonly local: LocalAttempt
  /** Whether nobody else can ever use the key. */
  readonly isKeyless: boolean
  readonly clock: Clock
  readonly writer: OutcomeWriter
  readonly holder: OutcomeHolder
  readonly log: EventLog
  /** Called once the attempt's end is in the store, or nothing of it was sent. */
  readonly onOver: () => void
}

/** The right to send one request once, as its pipeline holds it. */
export class OwnAttempt implements ClaimAttempt {
  readonly #options: OwnAttemptOptions

  constructor (options: OwnAttemptOptions) {
    this.#options = options
  }

  dispatch (): boolean {
    const { local, log } = this.#options
    const mayGo = local.dispatch()
    if (!mayGo && local.isLapsed) log.emit(CLAIMS_EVENTS.leaseLapsed, { workspace: local.record.workspace })
    return mayGo
  }

  async notSent (): Promise<boolean> {
    const { local, isKeyless, clock, onOver } = this.#options
    if (!local.finish({ kind: 'not-sent' })) return false
    onOver()
    const released = this.#write({ ...local.record, state: 'released' })
    if (isKeyless) return true
    return await Promise.race([released, clock.sleep(FINISH_WAIT).then(() => false)])
  }

  async finish (outcome: ClaimOutcome): Promise<void> {
    const { local } = this.#options
    if (!local.finish({ kind: 'outcome', outcome })) return
    await this.#keep(withOutcome(local.record, outcome))
  }

  async lost (): Promise<void> {
    const { local, clock, log } = this.#options
    if (!local.finish({ kind: 'lost' })) return
    log.emit(CLAIMS_EVENTS.claimUnknown, { workspace: local.record.workspace, service: local.record.service })
    await Promise.race([this.#write({ ...local.record, state: 'unknown' }), clock.sleep(FINISH_WAIT)])
  }

  /** Into the store or, where that takes long, into the hands of peers as well. */
  async #keep (record: ClaimRecord): Promise<void> {
    const { clock, holder, log } = this.#options
    const written = this.#write(record)
    const isQuick = await Promise.race([written.then(() => true), clock.sleep(HOLD_AFTER).then(() => false)])
    if (isQuick) return
    const holders = await holder.give(record)
    void written.then(() => holder.release(record))
    if (holders >= HOLDERS) return log.emit(CLAIMS_EVENTS.outcomeHeld, { holders })
    log.emit(CLAIMS_EVENTS.outcomeUnheld, { holders })
    await Promise.race([written, clock.sleep(FINISH_WAIT)])
  }

  async #write (record: ClaimRecord): Promise<boolean> {
    const { writer, key, local, onOver } = this.#options
    const isOurs = await writer.write(key, local.version, record)
    onOver()
    return isOurs
  }
}

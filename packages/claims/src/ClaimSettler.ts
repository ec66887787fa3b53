import { failure, isJsonObject, millis, RunGuard, serviceKey } from '@papayahill/common'
import type { Clock, EventLog, Incarnation, InstanceId, Json, Millis } from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import { decodeClaim, encodeClaim, isSettled, readClaimRow, withOutcome } from './claimRecord.js'
import type { ClaimRecord, ClaimRow } from './claimRecord.js'
import { JOIN_MARGIN, MAX_JOIN_WAIT, NOT_RUN_FINAL_AFTER } from './constants.js'
import { CLAIMS_EVENTS } from './events.js'
import type { GroupCommit } from './GroupCommit.js'
import type { OutcomeBackup } from './OutcomeBackup.js'
import { listingWrites } from './OutcomeWriter.js'
import type { OutcomeWriter } from './OutcomeWriter.js'
import { keyReused, ownerUnreachable, lostRace, runUnknown, stillRunning } from './refusals.js'
import type { ClaimDecision, ClaimOutcome, ClaimRequest, ClaimRoster, KeyLookUp, Resolution } from './types.js'

export interface ClaimSettlerOptions {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly clock: Clock
  readonly peers: Peers
  readonly roster: ClaimRoster
  readonly commits: GroupCommit
  readonly writer: OutcomeWriter
  readonly backup: OutcomeBackup
  readonly lookUp?: KeyLookUp
  readonly log: EventLog
}

/** Next step for a request whose key already has a claim. */
export type SettleStep =
  | { readonly kind: 'decided', readonly decision: ClaimDecision }
  /** Nothing of the earlier attempt was or will be sent: take over the claim, on condition of this row version. */
  | { readonly kind: 'take', readonly row: ClaimRow }
  /** The row has changed: decide again. */
  | { readonly kind: 'look', readonly row: ClaimRow }

const replay = (outcome: ClaimOutcome): SettleStep => ({ kind: 'decided', decision: { kind: 'replay', outcome } })
const refuse = (cause: ReturnType<typeof failure>): SettleStep => ({ kind: 'decided', decision: { kind: 'refuse', failure: cause } })

/** Outcomes of claims settled by the service's records or by an operator. */
export const RESOLVED_OUTCOMES: Readonly<Record<Resolution, () => ClaimOutcome>> = {
  ran: () => ({ kind: 'failed', failure: failure('outcome-unknown', 'the request ran, but its answer was lost', 'ran') }),
  'not-run': () => ({
    kind: 'failed',
    failure: new RunGuard().refuse('stage-failed', 'the request did not run and will not run under this key; use a new key to try again')
  })
}

/** Decides the result for a request whose key already has a claim. */
export class ClaimSettler {
  readonly #options: ClaimSettlerOptions

  constructor (options: ClaimSettlerOptions) {
    this.#options = options
  }

  async settle (row: ClaimRow, request: ClaimRequest, until: Millis): Promise<SettleStep> {
    const record = row.record!
    if (record.digest !== request.digest) return refuse(keyReused(record))
    if (record.outcome !== undefined && isSettled(record)) return replay(record.outcome)
    if (record.state === 'unknown') return await this.#settleOrphaned(row)
    return record.ownerIncarnation === this.#options.incarnation ? this.#settleOwn(row) : await this.#askOwner(row, until)
  }

  /** Whether, according to the roster, the incarnation that owns a claim has certainly ended. */
  isOwnerGone (record: ClaimRecord): boolean {
    const { self, incarnation, roster } = this.#options
    if (record.owner === self) return record.ownerIncarnation !== incarnation
    const { members, departed } = roster.view()
    if (members.some((member) => member.incarnation === record.ownerIncarnation)) return false
    return departed.some((member) => member.incarnation === record.ownerIncarnation) ||
      members.some((member) => member.id === record.owner)
  }

  /** Whether "not run" is final: no instance can still send the request, and no call can still be running. */
  isNotRunFinal (record: ClaimRecord): boolean {
    return this.#options.clock.wall() - record.at >= NOT_RUN_FINAL_AFTER
  }

  /** Settles a claim of this incarnation that has no current attempt: its end is being written, or it was never sent. */
  #settleOwn (row: ClaimRow): SettleStep {
    const pending = this.#options.writer.pendingEnd(row.key)
    if (pending?.attempt !== row.record!.attempt) return { kind: 'take', row }
    if (pending.outcome !== undefined) return replay(pending.outcome)
    return pending.state === 'unknown' ? refuse(runUnknown(pending)) : refuse(lostRace())
  }

  async #askOwner (row: ClaimRow, until: Millis): Promise<SettleStep> {
    const { peers, clock } = this.#options
    const { owner, ownerIncarnation, attempt } = row.record!
    const wait = millis(Math.max(0, Math.min(MAX_JOIN_WAIT, until - clock.now())))
    const message = { kind: 'join', key: row.key, attempt, incarnation: ownerIncarnation, wait }
    const answer = await peers.ask(owner, 'claim', message, millis(wait + JOIN_MARGIN))
    if (answer.isOk && isJsonObject(answer.value)) return await this.#applyOwnerAnswer(row, answer.value)
    if (this.isOwnerGone(row.record!)) return await this.#settleOrphaned(row)
    return refuse(ownerUnreachable(row.record!))
  }

  async #applyOwnerAnswer (row: ClaimRow, answer: { readonly [key: string]: Json }): Promise<SettleStep> {
    const record = decodeClaim(answer['record'])
    if (record?.outcome !== undefined) return replay(record.outcome)
    const end = answer['end']
    if (end === 'not-sent') return { kind: 'take', row }
    if (end === 'gone') return await this.#settleOrphaned(row)
    return refuse(end === 'lost' ? runUnknown(row.record!) : stillRunning())
  }

  /** Settles a claim whose owner is gone or does not know the outcome: a backup copy, the service or an operator may settle it. */
  async #settleOrphaned (row: ClaimRow): Promise<SettleStep> {
    const record = row.record!
    const backup = await this.#options.backup.find(row.key)
    if (backup?.outcome !== undefined && backup.attempt === record.attempt) return await this.#settleAs(row, backup.outcome)
    if (record.state === 'claimed') {
      const marked = await this.#write(row, { ...record, state: 'unknown' })
      if (marked.kind === 'look') return marked
      this.#options.log.emit(CLAIMS_EVENTS.claimUnknown, { workspace: record.workspace, service: record.service })
      return marked.kind === 'written' ? await this.#lookUp(marked.row) : refuse(runUnknown(record))
    }
    return await this.#lookUp(row)
  }

  async #lookUp (row: ClaimRow): Promise<SettleStep> {
    const record = row.record!
    const { service, workspace, key } = record
    const status = await this.#options.lookUp?.({ service, class: record.class, key: serviceKey(workspace, key) })
    if (status?.kind === 'ran') return await this.#settleAs(row, { kind: 'answered', body: status.body })
    if (status?.kind === 'not-run' && this.isNotRunFinal(record)) return await this.#settleNotRun(row)
    return refuse(runUnknown(record))
  }

  /** Writes and replays the outcome of a request that ran; replays it even if the store does not accept it now. */
  async #settleAs (row: ClaimRow, outcome: ClaimOutcome): Promise<SettleStep> {
    await this.#write(row, withOutcome(row.record!, outcome))
    this.#options.log.emit(CLAIMS_EVENTS.claimResolved, { workspace: row.record!.workspace, state: outcome.kind })
    return replay(outcome)
  }

  /** "Not run" is reported only once it is written, so that every later caller gets the same answer. */
  async #settleNotRun (row: ClaimRow): Promise<SettleStep> {
    const outcome = RESOLVED_OUTCOMES['not-run']()
    const written = await this.#write(row, withOutcome(row.record!, outcome))
    if (written.kind === 'look') return written
    return written.kind === 'written' ? replay(outcome) : refuse(runUnknown(row.record!))
  }

  async #write (row: ClaimRow, record: ClaimRecord): Promise<SettleStep | { readonly kind: 'written', readonly row: ClaimRow } | { readonly kind: 'failed' }> {
    const { commits } = this.#options
    const extraWrites = listingWrites(record, row.record?.state)
    const written = await commits.write({ key: row.key, version: row.version, value: encodeClaim(record), extraWrites })
    if (written.isOk) return { kind: 'written', row: { key: row.key, version: written.value, record } }
    if (written.error.kind === 'conflict') return { kind: 'look', row: readClaimRow(written.error.rows[0]!) }
    return { kind: 'failed' }
  }
}

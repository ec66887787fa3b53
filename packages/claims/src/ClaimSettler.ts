import { failure, isJsonObject, millis, RunGuard, serviceKey } from '@papayahill/common'
import type { Clock, EventLog, Incarnation, InstanceId, Json, Millis } from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import { decodeClaim, encodeClaim, isSettled, readClaimRow, withOutcome } from './claimRecord.js'
import type { ClaimRecord, ClaimRow } from './claimRecord.js'
import { JOIN_MARGIN, MAX_JOIN_WAIT, NOT_RUN_FINAL_AFTER } from './constants.js'
import { CLAIMS_EVENTS } from './events.js'
import type { GroupCommit } from './GroupCommit.js'
import type { OutcomeHolder } from './OutcomeHolder.js'
import { listingWrites } from './OutcomeWriter.js'
import type { OutcomeWriter } from './OutcomeWriter.js'
import { keyReused, ownerUnreachable, raced, runUnknown, stillRunning } from './refusals.js'
import type { ClaimDecision, ClaimOutcome, ClaimRequest, ClaimRoster, KeyLookUp, Resolution } from './types.js'

export interface ClaimSettlerOptions {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly clock: Clock
  readonly peers: Peers
  readonly roster: ClaimRoster
  readonly commits: GroupCommit
  readonly writer: OutcomeWriter
  readonly holder: OutcomeHolder
  readonly lookUp?: KeyLookUp
  readonly log: EventLog
}

/** What comes next for a request that found an earlier claim on its key. */
export type Step =
  | { readonly kind: 'decided', readonly decision: ClaimDecision }
  /** Nothing of the earlier attempt was sent or will be: take the claim over, on condition of this row. */
  | { readonly kind: 'take', readonly row: ClaimRow }
  /** The row has changed: look again. */
  | { readonly kind: 'look', readonly row: ClaimRow }

const replay = (outcome: ClaimOutcome): Step => ({ kind: 'decided', decision: { kind: 'replay', outcome } })
const refuse = (cause: ReturnType<typeof failure>): Step => ({ kind: 'decided', decision: { kind: 'refuse', failure: cause } })

/** The final word on a claim, from the service's own record or from an operator. */
export const RESOLVED: Readonly<Record<Resolution, () => ClaimOutcome>> = {
  ran: () => ({ kind: 'failed', failure: failure('outcome-unknown', 'this ran; its answer was lost', 'ran') }),
  'not-run': () => ({
    kind: 'failed',
    failure: new RunGuard().refuse('stage-failed', 'this did not run and never will under this key; take a new key to try again')
  })
}

/** Decides what a caller gets whose key somebody has claimed before. */
export class ClaimSettler {
  readonly #options: ClaimSettlerOptions

  constructor (options: ClaimSettlerOptions) {
    this.#options = options
  }

  async settle (row: ClaimRow, request: ClaimRequest, until: Millis): Promise<Step> {
    const record = row.record!
    if (record.digest !== request.digest) return refuse(keyReused(record))
    if (record.outcome !== undefined && isSettled(record)) return replay(record.outcome)
    if (record.state === 'unknown') return await this.#orphaned(row)
    return record.ownerIncarnation === this.#options.incarnation ? this.#own(row) : await this.#askOwner(row, until)
  }

  /** Whether the life that owns a claim has surely ended, as the roster tells. */
  isGone (record: ClaimRecord): boolean {
    const { self, incarnation, roster } = this.#options
    if (record.owner === self) return record.ownerIncarnation !== incarnation
    const { members, departed } = roster.view()
    if (members.some((member) => member.incarnation === record.ownerIncarnation)) return false
    return departed.some((member) => member.incarnation === record.ownerIncarnation) ||
      members.some((member) => member.id === record.owner)
  }

  /** Whether "not run" may be taken as final: no instance can still send, and no call can still be at work. */
  isNotRunFinal (record: ClaimRecord): boolean {
    return this.#options.clock.wall() - record.at >= NOT_RUN_FINAL_AFTER
  }

  /** A claim of this life that no attempt here stands for any more: its end is on the way, or it was never sent. */
  #own (row: ClaimRow): Step {
    const pending = this.#options.writer.pendingEnd(row.key)
    if (pending?.attempt !== row.record!.attempt) return { kind: 'take', row }
    if (pending.outcome !== undefined) return replay(pending.outcome)
    return pending.state === 'unknown' ? refuse(runUnknown(pending)) : refuse(raced())
  }

  async #askOwner (row: ClaimRow, until: Millis): Promise<Step> {
    const { peers, clock } = this.#options
    const { owner, ownerIncarnation, attempt } = row.record!
    const wait = millis(Math.max(0, Math.min(MAX_JOIN_WAIT, until - clock.now())))
    const question = { kind: 'join', key: row.key, attempt, incarnation: ownerIncarnation, wait }
    const answer = await peers.ask(owner, 'claim', question, millis(wait + JOIN_MARGIN))
    if (answer.isOk && isJsonObject(answer.value)) return await this.#takeAnswer(row, answer.value)
    if (this.isGone(row.record!)) return await this.#orphaned(row)
    return refuse(ownerUnreachable(row.record!))
  }

  async #takeAnswer (row: ClaimRow, answer: { readonly [key: string]: Json }): Promise<Step> {
    const record = decodeClaim(answer['record'])
    if (record?.outcome !== undefined) return replay(record.outcome)
    const end = answer['end']
    if (end === 'not-sent') return { kind: 'take', row }
    if (end === 'gone') return await this.#orphaned(row)
    return refuse(end === 'lost' ? runUnknown(row.record!) : stillRunning())
  }

  /** The owner is gone, or could not tell what became of it: a holder, the service or an operator may know. */
  async #orphaned (row: ClaimRow): Promise<Step> {
    const record = row.record!
    const held = await this.#options.holder.find(row.key)
    if (held?.outcome !== undefined && held.attempt === record.attempt) return await this.#settleAs(row, held.outcome)
    if (record.state === 'claimed') {
      const marked = await this.#write(row, { ...record, state: 'unknown' })
      if (marked.kind === 'look') return marked
      this.#options.log.emit(CLAIMS_EVENTS.claimUnknown, { workspace: record.workspace, service: record.service })
      return marked.kind === 'written' ? await this.#lookUp(marked.row) : refuse(runUnknown(record))
    }
    return await this.#lookUp(row)
  }

  async #lookUp (row: ClaimRow): Promise<Step> {
    const record = row.record!
    const { service, workspace, key } = record
    const status = await this.#options.lookUp?.({ service, class: record.class, key: serviceKey(workspace, key) })
    if (status?.kind === 'ran') return await this.#settleAs(row, { kind: 'answered', body: status.body })
    if (status?.kind === 'not-run' && this.isNotRunFinal(record)) return await this.#settleNotRun(row)
    return refuse(runUnknown(record))
  }

  /** What ran is true whether or not the store takes it now. */
  async #settleAs (row: ClaimRow, outcome: ClaimOutcome): Promise<Step> {
    await this.#write(row, withOutcome(row.record!, outcome))
    this.#options.log.emit(CLAIMS_EVENTS.claimResolved, { workspace: row.record!.workspace, state: outcome.kind })
    return replay(outcome)
  }

  /** "Not run" is said only once it is written, so that every later caller hears the same. */
  async #settleNotRun (row: ClaimRow): Promise<Step> {
    const outcome = RESOLVED['not-run']()
    const written = await this.#write(row, withOutcome(row.record!, outcome))
    if (written.kind === 'look') return written
    return written.kind === 'written' ? replay(outcome) : refuse(runUnknown(row.record!))
  }

  async #write (row: ClaimRow, record: ClaimRecord): Promise<Step | { readonly kind: 'written', readonly row: ClaimRow } | { readonly kind: 'failed' }> {
    const { commits } = this.#options
    const beside = listingWrites(record, row.record?.state)
    const written = await commits.write({ key: row.key, version: row.version, value: encodeClaim(record), beside })
    if (written.isOk) return { kind: 'written', row: { key: row.key, version: written.value, record } }
    if (written.error.kind === 'conflict') return { kind: 'look', row: readClaimRow(written.error.rows[0]!) }
    return { kind: 'failed' }
  }
}

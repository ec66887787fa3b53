import { failure, isJsonObject, millis, SILENT_LOG } from '@papayahill/common'
import type { Clock, EventLog, Failure, IdempotencyKey, Incarnation, InstanceId, Json, Millis, Random, WorkspaceId } from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import type { RowKey, TableService } from '@papayahill/stores'
import { Arrivals } from './Arrivals.js'
import type { Arrival } from './Arrivals.js'
import { claimKey, decodeClaim, encodeClaim, isReleasedBefore, isSettled, newClaim, readClaimRow, statusOf, withOutcome } from './claimRecord.js'
import type { AttemptId, ClaimRow } from './claimRecord.js'
import { ClaimListing } from './ClaimListing.js'
import { ClaimSettler, RESOLVED_OUTCOMES } from './ClaimSettler.js'
import { MAX_FINISH_WAIT, MAX_CLAIM_TRIES, MAX_JOIN_WAIT, MAX_INCARNATIONS_LISTED, NOT_RUN_FINAL_AFTER } from './constants.js'
import { CLAIMS_EVENTS } from './events.js'
import { GroupCommit } from './GroupCommit.js'
import { LocalAttempt } from './LocalAttempt.js'
import { keyOfMessage, OutcomeBackup } from './OutcomeBackup.js'
import { listingWrites, OutcomeWriter } from './OutcomeWriter.js'
import { OwnAttempt } from './OwnAttempt.js'
import { isKeyless, justPaused, keyReused, lostRace, runUnknown, stillRunning, storeUnreachable } from './refusals.js'
import { PauseGuard } from './PauseGuard.js'
import type { ClaimDecision, ClaimRequest, ClaimRoster, Claims, ClaimStatus, KeyLookUp, Resolution } from './types.js'

export interface ClaimManagerOptions {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly clock: Clock
  readonly random: Random
  readonly table: TableService
  readonly peers: Peers
  readonly roster: ClaimRoster
  readonly lookUp?: KeyLookUp
  readonly log?: EventLog
}

const refuse = (cause: Failure): ClaimDecision => ({ kind: 'refuse', failure: cause })

/** Whether a new attempt may claim the key, according to this row. */
const isFree = (row: ClaimRow): boolean => row.record === undefined || row.record.state === 'released'

/**
 * Runs each request that may not be repeated at most once, whichever instances its caller retries at.
 * Safety rests on the conditional write of the claim alone; peers and group commit only reduce latency and load.
 *
 * @example
 * const decision = await claims.begin(request)
 * if (decision.kind === 'run' && decision.attempt.dispatch()) {
 *   const answer = await send(request)
 *   await decision.attempt.finish({ kind: 'answered', body: answer })
 * }
 */
export class ClaimManager implements Claims {
  readonly #options: ClaimManagerOptions
  readonly #log: EventLog
  readonly #commits: GroupCommit
  readonly #writer: OutcomeWriter
  readonly #backup: OutcomeBackup
  readonly #listing: ClaimListing
  readonly #settler: ClaimSettler
  readonly #pauseGuard: PauseGuard
  readonly #arrivals: Arrivals
  readonly #attempts = new Map<RowKey, LocalAttempt>()
  #attemptCount = 0

  constructor (options: ClaimManagerOptions) {
    const { clock, random, table, peers, incarnation } = options
    const log = options.log ?? SILENT_LOG
    this.#options = options
    this.#log = log
    this.#listing = new ClaimListing({ incarnation, clock, random, table, log })
    this.#commits = new GroupCommit({ clock, table, extraWritesFor: (writes) => this.#listing.logWritesFor(writes) })
    this.#pauseGuard = new PauseGuard(clock, log)
    this.#arrivals = new Arrivals(clock, this.#commits, this.#pauseGuard)
    this.#writer = new OutcomeWriter({ clock, random, commits: this.#commits, log })
    this.#backup = new OutcomeBackup({ clock, random, peers, commits: this.#commits, log })
    this.#settler = new ClaimSettler({ ...options, commits: this.#commits, writer: this.#writer, backup: this.#backup, log })
    peers.handle('claim', (_from, message) => this.#answerPeer(message))
  }

  start (): void {
    this.#backup.start()
    this.#listing.start()
    this.#pauseGuard.start()
  }

  stop (): void {
    this.#backup.stop()
    this.#listing.stop()
    this.#pauseGuard.stop()
  }

  noteArrival (request: Pick<ClaimRequest, 'workspace' | 'key' | 'request'>): void {
    this.#arrivals.record(request.request, claimKey(request.workspace, request.key))
  }

  async begin (request: ClaimRequest): Promise<ClaimDecision> {
    const { clock } = this.#options
    const key = claimKey(request.workspace, request.key)
    const until = millis(clock.now() + request.maxWait)
    const arrival = this.#arrivals.take(request.request, key)
    for (let tries = 0; tries < MAX_CLAIM_TRIES; tries++) {
      const local = this.#currentAttempt(key)
      if (local === undefined) return await this.#claim(key, request, arrival, until)
      if (local.record.digest !== request.digest) return refuse(keyReused(local.record))
      const end = await local.whenEnded(millis(until - clock.now()))
      if (end === undefined) return refuse(stillRunning())
      if (end.kind === 'outcome') return { kind: 'replay', outcome: end.outcome }
      if (end.kind === 'lost') return refuse(runUnknown(local.record))
    }
    return refuse(lostRace())
  }

  async listUnknown (): Promise<readonly ClaimStatus[]> {
    const { members, departed } = this.#options.roster.view()
    const live = new Set(members.map((member) => member.incarnation))
    const ended = departed.map((member) => member.incarnation)
      .filter((incarnation) => !live.has(incarnation)).slice(-MAX_INCARNATIONS_LISTED)
    const records = await this.#listing.listUnknown()
    const open = await Promise.all(ended.map((incarnation) => this.#listing.listOpen(incarnation)))
    return [...records, ...open.flat()].map(statusOf)
  }

  async resolve (workspace: WorkspaceId, key: IdempotencyKey, resolution: Resolution): Promise<Failure | undefined> {
    const read = await this.#commits.read(claimKey(workspace, key))
    if (read.isErr) return failure('store-unavailable', 'the claim could not be read; try again', 'unknown')
    const row = readClaimRow(read.value)
    const { record } = row
    if (record === undefined) return failure('unknown-resource', 'there is no claim under this key', 'unknown')
    const isOpen = record.state === 'unknown' || (record.state === 'claimed' && this.#settler.isOwnerGone(record))
    if (!isOpen) return failure('conflict', `the claim is ${record.state}; only an unknown one can be resolved`, 'unknown')
    if (resolution === 'not-run' && !this.#settler.isNotRunFinal(record)) {
      return failure('conflict', `the claim is younger than ${NOT_RUN_FINAL_AFTER} ms and may still run; try again later`, 'unknown')
    }
    const resolved = withOutcome(record, RESOLVED_OUTCOMES[resolution]())
    const extraWrites = listingWrites(resolved, 'unknown')
    const written = await this.#commits.write({ key: row.key, version: row.version, value: encodeClaim(resolved), extraWrites })
    if (written.isErr) return failure('conflict', 'the resolution may not have been recorded; check the claim again', 'unknown')
    this.#log.emit(CLAIMS_EVENTS.claimResolved, { workspace, resolution })
    return undefined
  }

  /** Waits until every outcome is in the store; backs up to peers those that the store does not accept in time. */
  async drain (): Promise<void> {
    await Promise.race([this.#writer.whenIdle(), this.#options.clock.sleep(MAX_FINISH_WAIT)])
    await Promise.all(this.#writer.pendingOutcomes().map((record) => this.#backup.replicate(record)))
  }

  /** The current attempt for a key. Ends one that was claimed but not sent within its lease. */
  #currentAttempt (key: RowKey): LocalAttempt | undefined {
    const local = this.#attempts.get(key)
    if (local === undefined || !local.isAbandoned) return local
    local.finish({ kind: 'not-sent' })
    this.#attempts.delete(key)
    return undefined
  }

  async #claim (key: RowKey, request: ClaimRequest, arrival: Arrival | undefined, until: Millis): Promise<ClaimDecision> {
    if (arrival === undefined) return refuse(justPaused())
    const { self, incarnation, clock } = this.#options
    const attempt: AttemptId = `${incarnation}/${++this.#attemptCount}`
    const record = newClaim(request, { owner: self, ownerIncarnation: incarnation }, attempt, clock.wall())
    const local = new LocalAttempt(clock, record)
    this.#attempts.set(key, local)
    const decision = await this.#tryClaim(key, local, request, arrival, until)
    if (decision.kind === 'run') return decision
    local.finish({ kind: 'not-sent' })
    this.#removeAttempt(key, local)
    return decision
  }

  async #tryClaim (
    key: RowKey, local: LocalAttempt, request: ClaimRequest, arrival: Arrival, until: Millis
  ): Promise<ClaimDecision> {
    const read = await arrival.read
    if (read.isErr) return await this.#decideWithoutStore(key, request)
    let row = read.value
    for (let tries = 0; tries < MAX_CLAIM_TRIES; tries++) {
      if (row.record?.state === 'released' && !isReleasedBefore(row.record, arrival.at, this.#options.incarnation)) return refuse(lostRace())
      const step = isFree(row) ? { kind: 'take', row } as const : await this.#settler.settle(row, request, until)
      if (step.kind === 'decided') return step.decision
      if (step.kind === 'look') {
        row = step.row
        continue
      }
      const written = await this.#writeClaim(local, step.row)
      if (written === undefined) return await this.#decideWithoutStore(key, request)
      if (written.record?.attempt === local.id && written.record.state === 'claimed') return this.#grant(key, local, written, request)
      // The key was released after this request read it: another caller may have received "not run", which must stay true.
      if (isFree(written) && written.version !== step.row.version) return refuse(lostRace())
      row = written
    }
    return refuse(lostRace())
  }

  /** Tries to write the claim; returns the row as stored after that, or undefined if the store gave no answer. */
  async #writeClaim (local: LocalAttempt, row: ClaimRow): Promise<ClaimRow | undefined> {
    const { key, version } = row
    const written = await this.#commits.write({ key, version, value: encodeClaim(local.record) })
    if (written.isOk) return { key, version: written.value, record: local.record }
    if (written.error.kind === 'conflict') return readClaimRow(written.error.rows[0]!)
    if (written.error.kind === 'unavailable') return undefined
    const read = await this.#commits.read(key)
    return read.isOk ? readClaimRow(read.value) : undefined
  }

  #grant (key: RowKey, local: LocalAttempt, row: ClaimRow, request: ClaimRequest): ClaimDecision {
    const { clock } = this.#options
    local.confirmClaim(row.version)
    const attempt = new OwnAttempt({
      key,
      local,
      isKeyless: isKeyless(request),
      clock,
      writer: this.#writer,
      backup: this.#backup,
      log: this.#log,
      onEnded: () => this.#removeAttempt(key, local)
    })
    return { kind: 'run', attempt }
  }

  /** Without the store nothing new is sent; an outcome that a peer has backed up is still replayed. */
  async #decideWithoutStore (key: RowKey, request: ClaimRequest): Promise<ClaimDecision> {
    this.#log.emit(CLAIMS_EVENTS.storeUnreachable, { workspace: request.workspace })
    const backup = await this.#backup.find(key)
    if (backup?.outcome === undefined) return refuse(storeUnreachable(request))
    return backup.digest === request.digest ? { kind: 'replay', outcome: backup.outcome } : refuse(keyReused(backup))
  }

  #removeAttempt (key: RowKey, local: LocalAttempt): void {
    if (this.#attempts.get(key) === local) this.#attempts.delete(key)
  }

  async #answerPeer (message: Json): Promise<Json> {
    const key = keyOfMessage(message)
    if (!isJsonObject(message)) return null
    if (message['kind'] === 'hold') return this.#storeBackup(message['record'])
    if (key === undefined) return null
    if (message['kind'] === 'join') return await this.#answerJoin(key, message)
    if (message['kind'] === 'held') return this.#settledRecord(key)
    if (message['kind'] === 'written') this.#backup.remove(key, String(message['attempt']))
    return null
  }

  #storeBackup (value: Json | undefined): boolean {
    const record = decodeClaim(value)
    if (record !== undefined) this.#backup.store(record)
    return record !== undefined
  }

  /** The settled record of a key if this instance has it without reading the store. */
  #settledRecord (key: RowKey): Json {
    const local = this.#attempts.get(key)
    if (local?.end?.kind === 'outcome') return encodeClaim(withOutcome(local.record, local.end.outcome))
    const record = this.#writer.pendingEnd(key) ?? this.#backup.get(key)
    return record !== undefined && isSettled(record) ? encodeClaim(record) : null
  }

  /**
   * Reports the end of an attempt of this incarnation to a peer. An attempt no longer known here was never sent, or its
   * end is in the store, where it makes the peer's conditional write fail.
   */
  async #answerJoin (key: RowKey, message: { readonly [key: string]: Json }): Promise<Json> {
    if (message['incarnation'] !== this.#options.incarnation) return { end: 'gone' }
    const local = this.#currentAttempt(key)
    if (local === undefined || local.id !== message['attempt']) return this.#answerEnded(key, message['attempt'])
    const wait = typeof message['wait'] === 'number' ? message['wait'] : 0
    const end = await local.whenEnded(millis(Math.min(wait, MAX_JOIN_WAIT)))
    if (end?.kind === 'outcome') return { end: 'outcome', record: encodeClaim(withOutcome(local.record, end.outcome)) }
    return { end: end?.kind ?? 'running' }
  }

  #answerEnded (key: RowKey, attempt: Json | undefined): Json {
    const pending = this.#writer.pendingEnd(key)
    if (pending === undefined || pending.attempt !== attempt || pending.state === 'released') return { end: 'not-sent' }
    return isSettled(pending) ? { end: 'outcome', record: encodeClaim(pending) } : { end: 'lost' }
  }
}

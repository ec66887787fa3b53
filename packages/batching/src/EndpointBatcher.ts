import { bytes, millis } from '@papayahill/common'
import type { Clock, EventLog, Millis, Timer } from '@papayahill/common'
import type { BatchProfile, Endpoint } from '@papayahill/directory'
import { BatchQueue } from './BatchQueue.js'
import type { WaitingPiece } from './BatchQueue.js'
import { ALONE_FACTOR, ALONE_MARGIN, FREE_PERIOD, LOST_FACTOR, LOST_MARGIN, MAX_PACE, PACE_WEIGHT, READ_BYTES_PER_MILLI, READ_DELAY, REFUSED_PAUSE, ROOM_PAUSE } from './constants.js'
import { BATCHING_EVENTS } from './events.js'
import { ForeignResults } from './ForeignResults.js'
import { ResultLedger } from './ResultLedger.js'
import type { BatchAnswer, BatchCaller, PieceOutcome } from './types.js'

export interface EndpointBatcherOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly caller: BatchCaller
  readonly endpoint: Endpoint
  readonly profile: () => BatchProfile | undefined
  /** Whether the endpoint may take new work. */
  readonly isUsable: () => boolean
}

interface OpenCall {
  readonly startedAt: Millis
  readonly forecast: Millis
}

/**
 * Forms the batches of one stage endpoint: whatever has gathered goes out as soon as the call before it has ended,
 * so that batches grow with the load and nothing waits while the endpoint is idle.
 *
 * @example
 * const batcher = new EndpointBatcher({ clock, log, caller, endpoint, profile, isUsable })
 * batcher.add({ piece, settle })
 */
export class EndpointBatcher {
  readonly #options: EndpointBatcherOptions
  readonly #queue = new BatchQueue()
  readonly #ledger = new ResultLedger()
  readonly #foreign = new ForeignResults()
  readonly #calls = new Set<OpenCall>()
  #unfreed: string[] = []
  #freeTimer: Timer | undefined
  #pauseTimer: Timer | undefined
  /** Whether the last call was answered without a wait for another's. */
  #isAlone = false
  /** Time that calls take over what the profile forecasts. */
  #pace = 1

  constructor (options: EndpointBatcherOptions) {
    this.#options = options
  }

  get isIdle (): boolean {
    return this.#queue.size === 0 && this.#calls.size === 0 && this.#unfreed.length === 0
  }

  add (waiting: WaitingPiece): void {
    this.#queue.add(waiting)
  }

  /** Time until a piece that came now would be made. */
  backlog (): Millis {
    const profile = this.#options.profile()
    if (profile === undefined) return millis(0)
    const calls = Math.ceil(this.#queue.size / profile.size)
    const waiting = (calls * profile.callTime + this.#queue.size * profile.pieceTime) * this.#pace
    return millis(waiting + this.#untilFree(this.#options.clock.now()))
  }

  cancel (request: string): void {
    settleAll(this.#queue.cancel(request), { fault: 'late' })
  }

  /** Another instance gathers from now on: what waits goes back to its owners. */
  handBack (): void {
    settleAll(this.#queue.takeAll(), { fault: 'moved' })
  }

  free (handles: readonly string[]): void {
    for (const handle of handles) this.#ledger.free(handle)
    this.#pauseTimer?.cancel()
    this.#pauseTimer = undefined
    this.#unfreed.push(...handles)
    this.#freeTimer ??= this.#options.clock.after(FREE_PERIOD, () => this.#flushFrees())
    this.pump()
  }

  /** Sends what has gathered, where the endpoint can take it. */
  pump (): void {
    const { endpoint, isUsable } = this.#options
    const profile = this.#options.profile()
    if (profile === undefined || !isUsable()) return settleAll(this.#queue.takeAll(), { fault: 'unplaced' })
    this.#expire(profile)
    if (this.#pauseTimer !== undefined || this.#calls.size >= profile.slots || this.#queue.size === 0) return
    const { clock } = this.#options
    const now = clock.now()
    const room = profile.room - this.#ledger.used(now) - this.#foreign.at(now)
    const callTime = millis(profile.callTime * this.#pace)
    const batch = this.#queue.take(now, { size: profile.size, room, callTime })
    if (batch.length === 0) return this.#pause(ROOM_PAUSE)
    this.#flushFrees()
    void this.#send(endpoint, profile, batch)
  }

  /** Time until the call under way should end. */
  #untilFree (now: Millis): Millis {
    return millis(Math.max(0, ...[...this.#calls].map((call) => call.startedAt + call.forecast - now)))
  }

  #expire (profile: BatchProfile): void {
    const { clock } = this.#options
    const now = clock.now()
    const dropped = this.#queue.expire(now, {
      freeAt: millis(now + this.#untilFree(now)),
      size: profile.size,
      callTime: millis(profile.callTime * this.#pace),
      pieceTime: millis(profile.pieceTime * this.#pace)
    })
    if (dropped.length === 0) return
    const { log, endpoint } = this.#options
    log.emit(BATCHING_EVENTS.piecesDropped, { endpoint: endpoint.id, pieces: dropped.length, request: dropped[0]!.piece.request })
    settleAll(dropped, { fault: 'late' })
  }

  #pause (span: Millis): void {
    this.#pauseTimer ??= this.#options.clock.after(span, () => {
      this.#pauseTimer = undefined
      this.pump()
    })
  }

  async #send (endpoint: Endpoint, profile: BatchProfile, batch: readonly WaitingPiece[]): Promise<void> {
    const { clock, log, caller } = this.#options
    const planned = profile.callTime + batch.length * profile.pieceTime
    const call: OpenCall = { startedAt: clock.now(), forecast: millis(planned * this.#pace) }
    this.#calls.add(call)
    const requests = new Set(batch.map(({ piece }) => piece.request)).size
    log.emit(BATCHING_EVENTS.batchSent, {
      endpoint: endpoint.id,
      pieces: batch.length,
      requests,
      waiting: this.#queue.size,
      forecastMs: call.forecast,
      heldBytes: this.#ledger.used(call.startedAt),
      request: batch[0]!.piece.request
    })
    this.#watchReading(call, batch)
    const timeout = millis(call.forecast * LOST_FACTOR + LOST_MARGIN)
    const answer = await caller.call(endpoint, batch.map(({ piece }) => piece), timeout)
    this.#calls.delete(call)
    const took = millis(clock.now() - call.startedAt)
    log.emit(BATCHING_EVENTS.batchEnded, { endpoint: endpoint.id, pieces: batch.length, outcome: answer.kind, tookMs: took })
    this.#isAlone = answer.kind === 'answered' && took <= call.forecast * ALONE_FACTOR + ALONE_MARGIN
    if (answer.kind === 'answered') this.#pace += PACE_WEIGHT * (Math.min(MAX_PACE, took / planned) - this.#pace)
    if (answer.kind === 'lost') this.#pace = Math.min(MAX_PACE, this.#pace * 2)
    this.#logFaults(endpoint, answer)
    this.#settle(batch, answer, profile)
    this.pump()
  }

  /**
   * An endpoint reads the inputs of a call when its turn comes. That is at once while this instance alone sends it
   * calls, one at a time; after a change of gatherers a call may wait behind another instance's.
   */
  #watchReading (call: OpenCall, batch: readonly WaitingPiece[]): void {
    const size = batch.reduce((sum, { piece }) => sum + piece.inputBytes, 0)
    if (size === 0 || !this.#isAlone) return
    const readTime = millis(READ_DELAY + size / READ_BYTES_PER_MILLI)
    this.#options.clock.after(readTime, () => {
      if (this.#calls.has(call)) for (const waiting of batch) waiting.read()
    })
  }

  #logFaults (endpoint: Endpoint, answer: BatchAnswer): void {
    if (answer.kind !== 'answered') return
    const faults = answer.outcomes.flatMap((outcome) => 'fault' in outcome ? [outcome.fault] : [])
    if (faults.length === 0) return
    this.#options.log.emit(BATCHING_EVENTS.piecesFaulty, { endpoint: endpoint.id, pieces: faults.length, fault: faults[0] })
  }

  #settle (batch: readonly WaitingPiece[], answer: BatchAnswer, profile: BatchProfile): void {
    if (answer.kind === 'refused') {
      for (const waiting of batch) this.#queue.add(waiting)
      this.#pause(REFUSED_PAUSE)
      return
    }
    if (answer.kind === 'lost') return settleAll(batch, { fault: 'failed' })
    if (answer.kind === 'unreachable') return settleAll([...batch, ...this.#queue.takeAll()], { fault: 'unplaced' })
    const now = this.#options.clock.now()
    const outcomes = batch.map((_waiting, at): PieceOutcome => answer.outcomes[at] ?? { fault: 'failed' })
    outcomes.forEach((outcome, at) => {
      if ('handle' in outcome) this.#ledger.add(outcome.handle, batch[at]!.piece.resultBytes, now, profile.resultLife)
    })
    outcomes.forEach((outcome, at) => {
      if ('fault' in outcome && outcome.fault === 'room') this.#waitForRoom(batch[at]!, profile)
      else batch[at]!.settle(outcome)
    })
  }

  /** The endpoint holds more than is known here, such as results that another instance had made. */
  #waitForRoom (waiting: WaitingPiece, profile: BatchProfile): void {
    const now = this.#options.clock.now()
    this.#foreign.note(bytes(Math.max(0, profile.room - this.#ledger.used(now))), now)
    this.#queue.add(waiting)
    this.#pause(ROOM_PAUSE)
  }

  #flushFrees (): void {
    this.#freeTimer?.cancel()
    this.#freeTimer = undefined
    const handles = this.#unfreed
    if (handles.length === 0) return
    this.#unfreed = []
    if (!this.#options.endpoint.isGone) this.#options.caller.free(this.#options.endpoint, handles)
  }
}

const settleAll = (pieces: readonly WaitingPiece[], outcome: PieceOutcome): void => {
  for (const waiting of pieces) waiting.settle(outcome)
}

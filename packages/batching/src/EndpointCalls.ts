import { bytes, millis } from '@papayahill/common'
import type { Clock, EventLog, Millis, Timer } from '@papayahill/common'
import type { BatchProfile, Endpoint } from '@papayahill/directory'
import type { RequestLimits } from '@papayahill/limits'
import type { CallStart, EndpointPerformance } from '@papayahill/performance'
import {
  CALLS_PER_FREE, FREE_PERIOD, FULL_MEMORY_PAUSE, LOSS_EXPECTED_PERIOD, LOST_FACTOR, LOST_MARGIN, MAX_SLOWDOWN,
  OVERDUE_MARGIN, READ_BYTES_PER_MILLI, READ_DELAY, REFUSED_PAUSE, SLOWDOWN_HALF_LIFE, SLOWDOWN_WEIGHT, UNCONTENDED_FACTOR,
  UNCONTENDED_MARGIN, URGENT_FREE_PERIOD, URGENT_FREE_SHARE, USABLE_MEMORY_SHARE
} from './constants.js'
import { BATCHING_EVENTS } from './events.js'
import { ForeignResults } from './ForeignResults.js'
import type { EndpointCapacity, WaitingPiece } from './planBatches.js'
import { ResultLedger } from './ResultLedger.js'
import type { BatchAnswer, BatchCaller, CallOutcome, PieceFault } from './types.js'

/** Work of batches, in milliseconds of the declared profile. */
const BATCH_WORK = { kind: 'batch', key: 'profile' } as const

export interface EndpointCallsOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly caller: BatchCaller
  readonly endpoint: Endpoint
  readonly limits: RequestLimits
  readonly profile: () => BatchProfile | undefined
  /** Used while the endpoint reports its slowdown. */
  readonly performance?: EndpointPerformance | undefined
  /** Called when results were freed, so that the endpoint may have memory for new ones. */
  readonly onMemoryFreed: () => void
}

interface OpenCall {
  readonly startedAt: Millis
  readonly forecast: Millis
}

/**
 * Sends the calls to one stage endpoint, tracks its speed and the results that it holds, and settles the pieces.
 *
 * @example
 * const calls = new EndpointCalls({ clock, log, caller, endpoint, limits, profile, onMemoryFreed })
 * const retried = await calls.send(batch, waiting)
 */
export class EndpointCalls {
  readonly #options: EndpointCallsOptions
  readonly #ownResults = new ResultLedger()
  readonly #foreignResults = new ForeignResults()
  readonly #openCalls = new Set<OpenCall>()
  #pendingFrees: string[] = []
  #freeTimer: Timer | undefined
  #pausedUntil: Millis = millis(0)
  /** Whether the last call was answered without waiting behind other calls. */
  #isUncontended = false
  /** Monotonic time until which more losses are expected after a lost call. */
  #lossesExpectedUntil: Millis = millis(0)
  /** Smoothed ratio of measured call time to the profile's forecast, as of the last call. */
  #lastSlowdown = 1
  #slowdownAt: Millis = millis(0)

  constructor (options: EndpointCallsOptions) {
    this.#options = options
  }

  get endpoint (): Endpoint {
    return this.#options.endpoint
  }

  /** Whether a call may be sent now. */
  get isAvailable (): boolean {
    return this.#hasFreeSlot && this.#options.limits.canSend(this.endpoint)
  }

  get #hasFreeSlot (): boolean {
    return this.#openCalls.size < this.#usableSlots && this.#callableAt <= this.#options.clock.now()
  }

  /** Slots as declared; where its speed is learnt, not more than the endpoint takes without slowing down. */
  get #usableSlots (): number {
    const slots = this.#options.profile()?.slots ?? 0
    const learnt = this.#learntPerformance
    return learnt === undefined ? slots : Math.min(slots, Math.max(1, Math.round(learnt.comfortableConcurrency(this.endpoint, 'batch'))))
  }

  get #learntPerformance (): EndpointPerformance | undefined {
    const { performance, endpoint } = this.#options
    return performance?.isActive([endpoint]) === true ? performance : undefined
  }

  /** Asks for a token of the endpoint's limit if nothing else prevents a call. */
  requestToken (): void {
    if (this.#hasFreeSlot) this.#options.limits.request(this.endpoint)
  }

  /** Monotonic time from which the endpoint may be called. */
  get #callableAt (): Millis {
    return millis(Math.max(this.#pausedUntil, this.endpoint.backoffUntil))
  }

  /** What the endpoint can accept now; undefined where operators declare no batch profile. */
  capacity (): EndpointCapacity | undefined {
    const { clock, endpoint, limits } = this.#options
    const profile = this.#options.profile()
    if (profile === undefined) return undefined
    const now = clock.now()
    const slowdown = this.#currentSlowdown(now)
    return {
      endpoint: endpoint.id,
      isAvailable: this.isAvailable,
      freeAt: millis(Math.max(now, this.#callableAt, now + this.#timeUntilFreeSlot(now, profile), now + limits.availableIn(endpoint))),
      spacing: limits.spacing(endpoint),
      maxPieces: profile.size,
      freeBytes: profile.resultCapacity * USABLE_MEMORY_SHARE - this.#ownResults.usedBytes(now) - this.#foreignResults.sizeAt(now),
      totalBytes: profile.resultCapacity * USABLE_MEMORY_SHARE,
      callTime: millis(profile.callTime * slowdown),
      pieceTime: millis(profile.pieceTime * slowdown)
    }
  }

  /** Releases results; their memory counts as used until the endpoint has answered. */
  free (handles: readonly string[]): void {
    this.#pendingFrees.push(...handles)
    const { clock, limits } = this.#options
    const now = clock.now()
    const profile = this.#options.profile()
    const limitedPeriod = Math.min(limits.spacing(this.endpoint) * CALLS_PER_FREE, (profile?.resultTtl ?? 0) / 2)
    const isUrgent = this.#ownResults.usedBytes(now) > URGENT_FREE_SHARE * (profile?.resultCapacity ?? 0)
    const span = millis(Math.max(isUrgent ? URGENT_FREE_PERIOD : FREE_PERIOD, this.endpoint.backoffLeft(now), limitedPeriod))
    this.#freeTimer ??= clock.after(span, () => { void this.#flushFrees() })
  }

  /** Sends a batch and settles its pieces; returns those that can be queued again at once. */
  async send (batch: readonly WaitingPiece[], waiting: number): Promise<readonly WaitingPiece[]> {
    const { clock, log, caller, endpoint } = this.#options
    const profile = this.#options.profile()
    if (profile === undefined) return batch
    const profileTime = profile.callTime + batch.length * profile.pieceTime
    const call: OpenCall = { startedAt: clock.now(), forecast: millis(profileTime * this.#currentSlowdown(clock.now())) }
    const start = this.#options.performance?.begin(endpoint, this.#openCalls.size)
    this.#openCalls.add(call)
    this.#logSent(call, batch, waiting)
    this.#scheduleInputsRead(call, batch)
    const timeout = millis(call.forecast * LOST_FACTOR + LOST_MARGIN)
    const answer = await caller.call(endpoint, batch.map(({ piece }) => piece), timeout)
    this.#openCalls.delete(call)
    const took = millis(clock.now() - call.startedAt)
    log.emit(BATCHING_EVENTS.batchEnded, { endpoint: endpoint.id, pieces: batch.length, outcome: answer.kind, tookMs: took })
    this.#isUncontended = answer.kind === 'answered' && took <= call.forecast * UNCONTENDED_FACTOR + UNCONTENDED_MARGIN
    this.#updateSlowdown(answer, took / profileTime)
    if (start !== undefined && answer.kind === 'answered') this.#learn(start, profileTime, took)
    this.#logFaults(answer)
    return this.#settle(batch, answer, profile)
  }

  /** Time until a slot is free; an overdue call is expected to take as long again as it is overdue. */
  #timeUntilFreeSlot (now: Millis, profile: BatchProfile): Millis {
    if (this.#openCalls.size < this.#usableSlots) return millis(0)
    const ends = [...this.#openCalls].map(({ startedAt, forecast }) => {
      const left = startedAt + forecast - now
      return left >= 0 ? left : OVERDUE_MARGIN - left
    })
    return millis(Math.min(...ends))
  }

  /** Expected time of a call as a multiple of the profile's: as learnt, or longer where calls were lost. */
  #currentSlowdown (now: Millis): number {
    const learnt = this.#learntPerformance
    if (learnt === undefined) return this.#ownSlowdown(now)
    const factor = learnt.expectedTime(this.endpoint, { ...BATCH_WORK, amount: 1 }, 0) ?? 1
    return Math.min(MAX_SLOWDOWN, now < this.#lossesExpectedUntil ? Math.max(factor, this.#ownSlowdown(now)) : factor)
  }

  #learn (start: CallStart, profileTime: number, took: Millis): void {
    this.#options.performance?.record(this.endpoint, start, { ...BATCH_WORK, amount: profileTime }, took)
  }

  /** The slowdown decays over time, so that an endpoint that was slow is tried again. */
  #ownSlowdown (now: Millis): number {
    const age = now - this.#slowdownAt
    return 1 + (this.#lastSlowdown - 1) * 2 ** (-age / SLOWDOWN_HALF_LIFE)
  }

  #updateSlowdown (answer: BatchAnswer, measured: number): void {
    const { kind } = answer
    if (kind === 'lost' && answer.isWithdrawn === true) return
    const now = this.#options.clock.now()
    const slowdown = this.#ownSlowdown(now)
    if (kind === 'lost') this.#lossesExpectedUntil = millis(now + LOSS_EXPECTED_PERIOD)
    if (kind === 'answered') this.#lastSlowdown = slowdown + SLOWDOWN_WEIGHT * (Math.min(MAX_SLOWDOWN, measured) - slowdown)
    else if (kind === 'lost') this.#lastSlowdown = Math.min(MAX_SLOWDOWN, slowdown * 2)
    else return
    this.#slowdownAt = now
  }

  /**
   * Reports the inputs of a call as read after the time that reading them takes. An endpoint reads them when it starts
   * the call, which is at once while only this instance sends it calls, one at a time; after a change of coordinators a
   * call may wait behind another instance's. A retry of a lost call reads the inputs again. So nothing is reported while
   * other instances' calls may be queued or losses are expected.
   */
  #scheduleInputsRead (call: OpenCall, batch: readonly WaitingPiece[]): void {
    const size = batch.reduce((sum, { piece }) => sum + piece.inputBytes, 0)
    if (size === 0 || !this.#isUncontended || call.startedAt < this.#lossesExpectedUntil) return
    const readTime = millis(READ_DELAY + size / READ_BYTES_PER_MILLI)
    this.#options.clock.after(readTime, () => {
      if (this.#openCalls.has(call)) for (const waiting of batch) waiting.onInputsRead()
    })
  }

  #logSent (call: OpenCall, batch: readonly WaitingPiece[], waiting: number): void {
    this.#options.log.emit(BATCHING_EVENTS.batchSent, {
      endpoint: this.endpoint.id,
      pieces: batch.length,
      requests: new Set(batch.map(({ piece }) => piece.request)).size,
      waiting,
      forecastMs: call.forecast,
      heldBytes: this.#ownResults.usedBytes(call.startedAt),
      request: batch[0]!.piece.request
    })
  }

  #logFaults (answer: BatchAnswer): void {
    if (answer.kind !== 'answered') return
    const faults = answer.outcomes.flatMap((outcome) => 'fault' in outcome ? [outcome.fault] : [])
    if (faults.length === 0) return
    this.#options.log.emit(BATCHING_EVENTS.piecesFaulty, { endpoint: this.endpoint.id, pieces: faults.length, fault: faults[0] })
  }

  #settle (batch: readonly WaitingPiece[], answer: BatchAnswer, profile: BatchProfile): readonly WaitingPiece[] {
    if (answer.kind === 'refused') {
      this.#pauseFor(REFUSED_PAUSE)
      return batch
    }
    if (answer.kind === 'lost') return this.#failAll(batch, answer.isConnectionLost ? 'lost' : 'failed')
    if (answer.kind === 'unreachable') return this.#failAll(batch, 'unplaced')
    const now = this.#options.clock.now()
    const outcomes = batch.map((_waiting, at): CallOutcome => answer.outcomes[at] ?? { fault: 'failed' })
    outcomes.forEach((outcome, at) => {
      if ('handle' in outcome) this.#ownResults.add(outcome.handle, batch[at]!.piece.resultBytes, now, profile.resultTtl)
    })
    const retried: WaitingPiece[] = []
    outcomes.forEach((outcome, at) => {
      if ('fault' in outcome && outcome.fault === 'room') retried.push(batch[at]!)
      else batch[at]!.settle({ ...outcome, endpoint: this.endpoint.id })
    })
    if (retried.length > 0) this.#handleFullMemory(profile)
    return retried
  }

  #failAll (batch: readonly WaitingPiece[], fault: PieceFault): readonly WaitingPiece[] {
    for (const waiting of batch) waiting.settle({ fault, endpoint: this.endpoint.id })
    return []
  }

  /** The endpoint holds more than this instance knows of, such as results of another instance's calls. */
  #handleFullMemory (profile: BatchProfile): void {
    const now = this.#options.clock.now()
    this.#foreignResults.record(bytes(Math.max(0, profile.resultCapacity - this.#ownResults.usedBytes(now))), now)
    this.#pauseFor(FULL_MEMORY_PAUSE)
  }

  #pauseFor (span: Millis): void {
    this.#pausedUntil = millis(this.#options.clock.now() + span)
  }

  async #flushFrees (): Promise<void> {
    this.#freeTimer = undefined
    const handles = this.#pendingFrees
    this.#pendingFrees = []
    if (this.endpoint.isGone) return
    await this.#options.caller.free(this.endpoint, handles)
    for (const handle of handles) this.#ownResults.free(handle)
    this.#pausedUntil = millis(0)
    this.#options.onMemoryFreed()
  }
}

import { isSameCall, millis, tokens } from '@papayahill/common'
import type { CallOutcome, Clock, EventLog, Millis, StageRecord, StageUsage, WasteCause } from '@papayahill/common'
import type { CallError, EndpointLease, StageAnswer, StageCall, StageChunk } from '@papayahill/endpoints'
import { Result } from 'true-myth'
import type { ChunkRelay, ChunkVerdict } from './ChunkRelay.js'
import { PIPELINE_EVENTS } from './events.js'

/** A call to send, with the data for its record. */
export interface OutgoingCall {
  readonly call: StageCall
  readonly lease: EndpointLease
  /** Time in the queue before the call was sent. */
  readonly queued: Millis
  readonly relay?: ChunkRelay
  /** Aborted when the answer is no longer needed. */
  readonly signal: AbortSignal
  /** Called once the answer has begun. */
  readonly onBegun?: () => void
  /** Called after each period without progress; true abandons the call so that it can be retried at another endpoint. */
  readonly slow?: { readonly after: Millis, readonly shouldAbandon: () => boolean }
}

export interface CallEnd {
  readonly result: Result<StageAnswer, CallError>
  readonly record: StageRecord
  /** The call was abandoned as slow, and the retry for it was already taken from the budget. */
  readonly isRetryTaken: boolean
  /** The caller reads too slowly. */
  readonly isOverflow: boolean
  /** Whether any part of the answer came. */
  readonly hasBegun: boolean
}

type StopCause = 'gap' | 'overflow' | 'slow'

const NO_USAGE: StageUsage = { tokensIn: tokens(0), tokensCached: tokens(0), tokensOut: tokens(0), busy: millis(0) }

/**
 * Sends one call over a lease and checks the answer's ids, the order of chunks and the call's progress.
 *
 * @example
 * const end = await caller.send({ call, lease, queued, signal })
 */
export class StageCaller {
  readonly #clock: Clock
  readonly #log: EventLog

  constructor (clock: Clock, log: EventLog) {
    this.#clock = clock
    this.#log = log
  }

  /** Sends the call in the current event loop iteration; releases the lease when it has ended. */
  async send (outgoing: OutgoingCall): Promise<CallEnd> {
    const { call, lease, slow } = outgoing
    const startedAt = this.#clock.now()
    const chunksBefore = chunksOf(outgoing)
    const stop = new AbortController()
    let cause: StopCause | undefined
    const stopFor = (why: StopCause): void => {
      cause ??= why
      stop.abort()
    }
    let chunksSeen = chunksBefore
    const checkProgress = (): void => {
      const hasProgress = chunksOf(outgoing) > chunksSeen
      chunksSeen = chunksOf(outgoing)
      if (!hasProgress && slow?.shouldAbandon() === true) stopFor('slow')
    }
    const timer = slow && this.#clock.every(slow.after, checkProgress)
    outgoing.relay?.open(call.id)
    let hasBegun = chunksBefore > 0
    const noteBegun = (): void => {
      if (!hasBegun) outgoing.onBegun?.()
      hasBegun = true
    }
    const onChunk = (chunk: StageChunk): void => {
      noteBegun()
      this.#onChunk(outgoing, chunk, stopFor)
    }
    const onAbort = (): void => stop.abort()
    outgoing.signal.addEventListener('abort', onAbort, { once: true })
    if (outgoing.signal.aborted) stop.abort()
    const received = await lease.connection.call(call, onChunk, stop.signal).catch(callFailure)
    outgoing.signal.removeEventListener('abort', onAbort)
    timer?.cancel()
    outgoing.relay?.pause()
    const result = this.#checkAnswer(outgoing, received, cause)
    if (result.isOk) noteBegun()
    const took = millis(this.#clock.now() - startedAt)
    const outcome: CallOutcome = result.isOk ? 'done' : result.error.outcome
    lease.release(outcome, took, result.isErr ? result.error.retryAfter : undefined)
    const hasDeliveredChunks = chunksOf(outgoing) > chunksBefore
    const waste = hasDeliveredChunks ? undefined : WASTE_BY_OUTCOME[outcome]
    const record = {
      ...this.#record(outgoing, startedAt, took), outcome, waste, usage: usageOf(result), isUsageKnown: isUsageKnown(result)
    }
    return { result, record, isRetryTaken: cause === 'slow', isOverflow: cause === 'overflow', hasBegun }
  }

  #onChunk (outgoing: OutgoingCall, chunk: StageChunk, stopFor: (why: StopCause) => void): void {
    const verdict = outgoing.relay?.accept(outgoing.call.id, chunk) ?? 'late'
    const handlers: Readonly<Record<ChunkVerdict, () => void>> = {
      delivered: () => {},
      repeated: () => {},
      crossed: () => this.#logCrossed(outgoing.call, outgoing.lease),
      late: () => this.#log.emit(PIPELINE_EVENTS.lateAnswer, { endpoint: outgoing.lease.endpoint }),
      gap: () => stopFor('gap'),
      overflow: () => stopFor('overflow')
    }
    handlers[verdict]()
  }

  /** Accepts an answer only if it carries the call's id; a call stopped here fails with the cause of the stop. */
  #checkAnswer (
    { call, relay }: OutgoingCall, received: Result<StageAnswer, CallError>, cause: StopCause | undefined
  ): Result<StageAnswer, CallError> {
    if (received.isErr) return cause === undefined ? received : Result.err({ ...received.error, ...ERROR_BY_STOP_CAUSE[cause] })
    const { usage } = received.value
    if (relay?.hasPossibleGap === true) return Result.err({ ...ERROR_BY_STOP_CAUSE.gap, usage })
    if (isSameCall(received.value.call, call.id)) return received
    this.#logCrossed(call)
    return Result.err({ outcome: 'crossed', detail: 'the answer carried the id of another call', usage })
  }

  #logCrossed (call: StageCall, lease?: EndpointLease): void {
    const fields = { service: call.service, stage: call.id.stage, request: call.id.request, endpoint: lease?.endpoint }
    this.#log.emit(PIPELINE_EVENTS.crossedAnswer, fields)
  }

  #record (outgoing: OutgoingCall, startedAt: Millis, took: Millis): Omit<StageRecord, 'outcome' | 'usage'> {
    const { call, lease, queued, relay } = outgoing
    return {
      call: call.id,
      service: call.service,
      version: lease.version,
      endpoint: lease.endpoint,
      domain: lease.domain,
      class: call.class,
      workspace: call.workspace,
      startedAt,
      queued,
      took,
      firstChunk: relay?.firstChunkAt === undefined ? undefined : millis(Math.max(0, relay.firstChunkAt - startedAt)),
      worstGap: relay?.worstGap
    }
  }
}

const ERROR_BY_STOP_CAUSE: Readonly<Record<StopCause, Pick<CallError, 'outcome' | 'detail'>>> = {
  gap: { outcome: 'crossed', detail: 'a chunk of the stream was missing' },
  overflow: { outcome: 'cancelled', detail: 'the caller read too slowly' },
  slow: { outcome: 'timed-out', detail: 'the call took far longer than usual' }
}

/** Cause of waste that is known when the call ends. */
const WASTE_BY_OUTCOME: Readonly<Record<CallOutcome, WasteCause | undefined>> = {
  done: undefined,
  failed: 'retry',
  'timed-out': 'retry',
  cut: 'retry',
  crossed: 'retry',
  refused: undefined,
  'not-sent': undefined,
  cancelled: 'cancelled'
}

const usageOf = (result: Result<StageAnswer, CallError>): StageUsage =>
  result.isOk ? result.value.usage : result.error.usage ?? NO_USAGE

const chunksOf = (outgoing: OutgoingCall): number => outgoing.relay?.chunks ?? 0

const callFailure = (err: unknown): Result<StageAnswer, CallError> =>
  Result.err({ outcome: 'failed', detail: err instanceof Error ? err.message : 'the call failed with an unexpected error' })

/** A cut or timed-out call may have used resources that no endpoint reported. */
const isUsageKnown = (result: Result<StageAnswer, CallError>): boolean => result.isOk || result.error.usage !== undefined

import { isSameCall, millis, tokens } from '@papayahill/common'
import type { CallOutcome, Clock, EventLog, Millis, StageRecord, StageUsage, WasteCause } from '@papayahill/common'
import type { CallError, EndpointLease, StageAnswer, StageCall, StageChunk } from '@papayahill/endpoints'
import { Result } from 'true-myth'
import type { ChunkRelay, ChunkVerdict } from './ChunkRelay.js'
import { PIPELINE_EVENTS } from './events.js'

/** A call as it is sent, with what its record needs. */
export interface Sending {
  readonly call: StageCall
  readonly lease: EndpointLease
  /** Time in the queue before the call was sent. */
  readonly queued: Millis
  readonly relay?: ChunkRelay
  /** Aborted when nobody needs the answer any more. */
  readonly signal: AbortSignal
  /** Asked each time the call made no progress for so long; true gives it up so that another endpoint may answer. */
  readonly slow?: { readonly after: Millis, readonly giveUp: () => boolean }
}

export interface CallEnd {
  readonly result: Result<StageAnswer, CallError>
  readonly record: StageRecord
  /** The call was given up as slow, and the budget has already paid for another attempt. */
  readonly isRetryTaken: boolean
  /** The caller reads too slowly. */
  readonly isOverflow: boolean
}

type StopCause = 'gap' | 'overflow' | 'slow'

const NO_USAGE: StageUsage = { tokensIn: tokens(0), tokensCached: tokens(0), tokensOut: tokens(0), busy: millis(0) }

/**
 * Makes one call over a lease and checks what comes back: ids, order of chunks, time.
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

  /** Hands the call over in this tick; gives the slot back when it has ended. */
  async send (sending: Sending): Promise<CallEnd> {
    const { call, lease, slow } = sending
    const startedAt = this.#clock.now()
    const chunksBefore = chunksOf(sending)
    const stop = new AbortController()
    let cause: StopCause | undefined
    const stopFor = (why: StopCause): void => {
      cause ??= why
      stop.abort()
    }
    let seen = chunksBefore
    const watch = (): void => {
      const isMoving = chunksOf(sending) > seen
      seen = chunksOf(sending)
      if (!isMoving && slow?.giveUp() === true) stopFor('slow')
    }
    const timer = slow && this.#clock.every(slow.after, watch)
    sending.relay?.open(call.id)
    const onChunk = (chunk: StageChunk): void => this.#onChunk(sending, chunk, stopFor)
    const onAbort = (): void => stop.abort()
    sending.signal.addEventListener('abort', onAbort, { once: true })
    if (sending.signal.aborted) stop.abort()
    const raw = await lease.connection.call(call, onChunk, stop.signal).catch(brokenCall)
    sending.signal.removeEventListener('abort', onAbort)
    timer?.cancel()
    sending.relay?.pause()
    const result = this.#judge(sending, raw, cause)
    const took = millis(this.#clock.now() - startedAt)
    const outcome: CallOutcome = result.isOk ? 'done' : result.error.outcome
    lease.release(outcome, took, result.isErr ? result.error.retryAfter : undefined)
    const isServing = chunksOf(sending) > chunksBefore
    const waste = isServing ? undefined : WASTE[outcome]
    const record = { ...this.#record(sending, startedAt, took), outcome, waste, usage: usageOf(result), isUsageKnown: isUsageKnown(result) }
    return { result, record, isRetryTaken: cause === 'slow', isOverflow: cause === 'overflow' }
  }

  #onChunk (sending: Sending, chunk: StageChunk, stopFor: (why: StopCause) => void): void {
    const verdict = sending.relay?.accept(sending.call.id, chunk) ?? 'late'
    const handlers: Readonly<Record<ChunkVerdict, () => void>> = {
      delivered: () => {},
      repeated: () => {},
      crossed: () => this.#tellCrossed(sending.call, sending.lease),
      late: () => this.#log.emit(PIPELINE_EVENTS.lateAnswer, { endpoint: sending.lease.endpoint }),
      gap: () => stopFor('gap'),
      overflow: () => stopFor('overflow')
    }
    handlers[verdict]()
  }

  /** An answer counts only where it echoes the call; a call stopped here ends for that reason. */
  #judge (
    { call, relay }: Sending, raw: Result<StageAnswer, CallError>, cause: StopCause | undefined
  ): Result<StageAnswer, CallError> {
    if (raw.isErr) return cause === undefined ? raw : Result.err({ ...raw.error, ...STOPPED[cause] })
    const { usage } = raw.value
    if (relay?.isHoled === true) return Result.err({ ...STOPPED.gap, usage })
    if (isSameCall(raw.value.call, call.id)) return raw
    this.#tellCrossed(call)
    return Result.err({ outcome: 'crossed', detail: 'the answer echoed another call', usage })
  }

  #tellCrossed (call: StageCall, lease?: EndpointLease): void {
    const fields = { service: call.service, stage: call.id.stage, request: call.id.request, endpoint: lease?.endpoint }
    this.#log.emit(PIPELINE_EVENTS.crossedAnswer, fields)
  }

  #record (sending: Sending, startedAt: Millis, took: Millis): Omit<StageRecord, 'outcome' | 'usage'> {
    const { call, lease, queued, relay } = sending
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
      firstChunk: relay?.firstAt === undefined ? undefined : millis(Math.max(0, relay.firstAt - startedAt)),
      worstGap: relay?.worstGap
    }
  }
}

const STOPPED: Readonly<Record<StopCause, Pick<CallError, 'outcome' | 'detail'>>> = {
  gap: { outcome: 'crossed', detail: 'a chunk of the stream was missing' },
  overflow: { outcome: 'cancelled', detail: 'the caller read too slowly' },
  slow: { outcome: 'timed-out', detail: 'the call took far longer than usual' }
}

/** Waste that shows at the call's own end. */
const WASTE: Readonly<Record<CallOutcome, WasteCause | undefined>> = {
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

const chunksOf = (sending: Sending): number => sending.relay?.chunks ?? 0

const brokenCall = (err: unknown): Result<StageAnswer, CallError> =>
  Result.err({ outcome: 'failed', detail: err instanceof Error ? err.message : 'the call broke' })

/** A cut or timed-out call may have cost something, but nobody has said what. */
const isUsageKnown = (result: Result<StageAnswer, CallError>): boolean => result.isOk || result.error.usage !== undefined

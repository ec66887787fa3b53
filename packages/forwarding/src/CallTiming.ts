import { millis } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import type { CallStart, EndpointPerformance } from '@papayahill/performance'
import { MIN_TIMED_STEPS, PROMPT_BASE_TOKENS, PROMPT_WORK_KEY, STEP_WORK_KEY } from './constants.js'
import type { CallEnd, ForwardRequest } from './types.js'

/** Monotonic times of a call's exchange. */
export interface ExchangeTimes {
  /** When the request began to be written. */
  readonly sentAt: Millis
  readonly firstByteAt: Millis | undefined
  readonly endedAt: Millis
}

const STATUS_ERRORS = 400

/**
 * Times one call for what is learnt of its endpoint's performance. Only complete answers count: a call that failed, was
 * refused or was interrupted says nothing about the speed.
 *
 * @example
 * const timing = new CallTiming(performance, endpoint, request, pendingTokens)
 * timing.ended(end, times, events)
 */
export class CallTiming {
  readonly #performance: EndpointPerformance
  readonly #endpoint: Endpoint
  readonly #request: ForwardRequest
  readonly #promptTokens: number | undefined
  readonly #start: CallStart | undefined

  /** `promptTokens`: those that an engine reads before it generates; undefined at a plain service. */
  constructor (performance: EndpointPerformance, endpoint: Endpoint, request: ForwardRequest, promptTokens: number | undefined) {
    this.#performance = performance
    this.#endpoint = endpoint
    this.#request = request
    this.#promptTokens = promptTokens
    this.#start = performance.begin(endpoint)
  }

  /** Learns from the end of a call with so many events of its own. */
  ended (end: CallEnd, times: ExchangeTimes, events: number): void {
    if (this.#start === undefined || this.#request.signal.aborted) return
    if (end.kind === 'answered' && end.status < STATUS_ERRORS && this.#promptTokens === undefined) this.#recordPlain(this.#start, times.endedAt, times)
    if (end.kind !== 'streamed' || times.firstByteAt === undefined) return
    if (this.#promptTokens === undefined) return this.#recordPlain(this.#start, times.firstByteAt, times)
    this.#recordEngine(this.#start, this.#promptTokens, times.firstByteAt, times, events)
  }

  #recordPlain (start: CallStart, until: Millis, { sentAt }: ExchangeTimes): void {
    const work = { kind: 'plain', key: this.#request.route.name, amount: 1 } as const
    this.#performance.record(this.#endpoint, start, work, millis(until - sentAt))
  }

  #recordEngine (start: CallStart, promptTokens: number, firstByteAt: Millis, { sentAt, endedAt }: ExchangeTimes, events: number): void {
    const prompt = { kind: 'prompt', key: PROMPT_WORK_KEY, amount: PROMPT_BASE_TOKENS + promptTokens } as const
    this.#performance.record(this.#endpoint, start, prompt, millis(firstByteAt - sentAt))
    const steps = { kind: 'step', key: STEP_WORK_KEY, amount: events - 1 } as const
    if (events >= MIN_TIMED_STEPS) this.#performance.record(this.#endpoint, start, steps, millis(endedAt - firstByteAt))
  }
}

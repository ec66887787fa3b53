import { brand, callerKey, millis, tokens } from '@papayahill/common'
import type {
  CallId, Clock, EndpointIncarnation, IdempotencyKey, InstanceId, Millis, Random, RequestId, StageUsage
} from '@papayahill/common'
import type {
  CacheEvent, CallError, KeyStatus, LoadReport, StageAnswer, StageCall, StageChunk
} from '@papayahill/endpoints'
import type { Trace } from '@papayahill/invariants'
import type { ListedEndpoint } from '@papayahill/stores'
import type { ServiceKind } from '@papayahill/settings'
import { Result } from 'true-myth'
import { linkSignals } from './linkSignals.js'
import type { LinkedSignal } from './linkSignals.js'
import { EffectRegistry } from './EffectRegistry.js'
import { PrefixCache } from './PrefixCache.js'
import { waitUnlessAborted } from './waitUnlessAborted.js'
import { WORK_MODELS } from './workModel.js'
import type { WorkModel } from './workModel.js'

/** Injected faults of an endpoint; may be changed while it runs. Shares are from 0 to 1. */
export interface EndpointFaults {
  failShare: number
  slowFactor: number
  /** Calls start and never end. */
  isHanging: boolean
  /** Share of answers that echo the id of another call. */
  crossShare: number
  /** Share of calls whose connection is cut before the answer is complete. */
  cutShare: number
  /** Load reports are neither answered nor pushed. */
  isSilent: boolean
  /** The endpoint ends when it begins an answer to a call with this prefix; undefined for none. */
  deadlyPrefix?: string | undefined
}

const NO_FAULTS: EndpointFaults = {
  failShare: 0, slowFactor: 1, isHanging: false, crossShare: 0, cutShare: 0, isSilent: false
}

const NO_USAGE: StageUsage = { tokensIn: tokens(0), tokensCached: tokens(0), tokensOut: tokens(0), busy: millis(0) }

const HALF = 0.5
/** Duration of a hanging call; its caller's timeout ends it earlier. */
const MAX_HANG = millis(3_600_000)
/** Service times are uniformly distributed within this share around their mean. */
const SPREAD = 0.3

export interface FakeEndpointOptions {
  readonly clock: Clock
  readonly random: Random
  readonly trace: Trace
  readonly listed: ListedEndpoint
  readonly kind: ServiceKind
  readonly model?: WorkModel
}

/** Usage that an endpoint's owner bills for one call, as recorded by the stand-in. */
export interface Bill {
  readonly call: CallId
  readonly workspace: string
  readonly class: string
  readonly usage: StageUsage
}

/**
 * An endpoint in memory: runs calls concurrently, slows down above its capacity, starts cold, caches prefixes,
 * performs effects by key and keeps its own bills.
 *
 * @example
 * const endpoint = new FakeEndpoint({ clock, random, trace, listed, kind: 'plain' })
 * endpoint.faults.slowFactor = 10
 * endpoint.restart({ isSilent: false })
 */
export class FakeEndpoint {
  readonly listed: ListedEndpoint
  readonly kind: ServiceKind
  readonly model: WorkModel
  readonly faults: EndpointFaults = { ...NO_FAULTS }
  readonly bills: Bill[] = []
  readonly #clock: Clock
  readonly #random: Random
  readonly #trace: Trace
  readonly #running = new Map<string, LinkedSignal>()
  readonly #effects = new EffectRegistry()
  readonly #restartListeners = new Set<(isSilent: boolean) => void>()
  readonly #cacheListeners = new Set<(event: CacheEvent) => void>()
  readonly #prefixes: PrefixCache
  #restarts = 0
  #completed = 0
  #reports = 0
  #cacheEvents = 0
  #calls = 0
  #lastCall: CallId | undefined
  #isAlive = true
  #isSilentRestart = false

  constructor (options: FakeEndpointOptions) {
    this.listed = options.listed
    this.kind = options.kind
    this.model = options.model ?? WORK_MODELS[options.kind]
    this.#prefixes = new PrefixCache(this.model.cachedPrefixes, (change) => this.#emitCache(change))
    this.#clock = options.clock
    this.#random = options.random
    this.#trace = options.trace
  }

  get incarnation (): EndpointIncarnation {
    return brand<EndpointIncarnation>(`${this.listed.id}@${this.#restarts}`)
  }

  get isAlive (): boolean {
    return this.#isAlive
  }

  get running (): number {
    return this.#running.size
  }

  get completed (): number {
    return this.#completed
  }

  get maxConcurrency (): number {
    const grown = this.model.maxConcurrencyCold + Math.floor(this.#completed / this.model.completedPerStep)
    return Math.min(this.model.maxConcurrencyWarm, grown)
  }

  get isWarm (): boolean {
    return this.maxConcurrency >= this.model.maxConcurrencyWarm
  }

  /** Makes the endpoint warm at once, as if it had served many calls. */
  warmUp (): void {
    this.#completed = Math.max(this.#completed, this.model.maxConcurrencyWarm * this.model.completedPerStep)
  }

  /** Starts a new, cold incarnation. A silent restart keeps connections and running calls. */
  restart (options: { readonly isSilent: boolean }): void {
    this.#isAlive = true
    this.#restarts++
    this.#completed = 0
    this.#reports = 0
    this.#prefixes.clear()
    this.#isSilentRestart = options.isSilent
    if (!options.isSilent) this.#abortAll()
    for (const listener of this.#restartListeners) listener(options.isSilent)
  }

  /** Kills the endpoint; connections break and running calls are cut. */
  kill (): void {
    this.#isAlive = false
    this.#abortAll()
    for (const listener of this.#restartListeners) listener(false)
  }

  onRestart (listener: (isSilent: boolean) => void): void {
    this.#restartListeners.add(listener)
  }

  onCacheEvent (listener: (event: CacheEvent) => void): void {
    this.#cacheListeners.add(listener)
  }

  report (): LoadReport {
    this.#reports++
    const maxConcurrency = this.maxConcurrency
    return {
      endpoint: this.listed.id,
      incarnation: this.incarnation,
      sequence: this.#reports,
      running: Math.min(this.running, maxConcurrency),
      queued: Math.max(0, this.running - maxConcurrency),
      completed: this.#completed,
      bears: maxConcurrency,
      bearsWarm: this.model.maxConcurrencyWarm,
      isWarm: this.isWarm
    }
  }

  keyStatus (key: IdempotencyKey): KeyStatus {
    return this.#effects.status(key)
  }

  /** Runs one call. `instance` is the sender, for the trace. */
  async serve (
    call: StageCall, onChunk: (chunk: StageChunk) => void, signal: AbortSignal, instance?: InstanceId
  ): Promise<Result<StageAnswer, CallError>> {
    if (!this.#isAlive) return Result.err({ outcome: 'not-sent', detail: 'connection refused' })
    const linked = linkSignals([signal])
    const runKey = `${this.#calls++}`
    this.#running.set(runKey, linked)
    this.#traceStart(call, instance)
    const restartsBefore = this.#restarts
    const started = this.#clock.now()
    const result = await this.#work(call, onChunk, linked.signal)
    linked.release()
    this.#running.delete(runKey)
    const busy = millis(this.#clock.now() - started)
    if (result.isOk && restartsBefore === this.#restarts) this.#completed++
    return this.#recordEnd(call, result, busy, signal.aborted && linked.signal.reason !== CUT)
  }

  #recordEnd (
    call: StageCall, result: Result<StageAnswer, CallError>, busy: Millis, isCancelled: boolean
  ): Result<StageAnswer, CallError> {
    const outcome = result.isOk ? 'done' : isCancelled ? 'cancelled' : 'failed'
    this.#trace.add({ type: 'work-ended', at: this.#clock.now(), endpoint: this.listed.id, call: call.id, outcome })
    const usage = { ...(result.isOk ? result.value.usage : result.error.usage ?? NO_USAGE), busy }
    this.bills.push({ call: call.id, workspace: call.workspace, class: call.class, usage })
    if (result.isErr) return Result.err({ ...result.error, usage })
    return Result.ok({ ...result.value, usage })
  }

  async #work (
    call: StageCall, onChunk: (chunk: StageChunk) => void, signal: AbortSignal
  ): Promise<Result<StageAnswer, CallError>> {
    const isCached = this.#prefixes.touch(call.prefix)
    const inputUsage: StageUsage = {
      ...NO_USAGE,
      tokensIn: tokens(isCached ? this.model.tokensIn * (1 - this.model.prefixSaving) : this.model.tokensIn),
      tokensCached: tokens(isCached ? this.model.tokensIn * this.model.prefixSaving : 0)
    }
    const isFailing = this.#random.next() < this.faults.failShare
    const isCut = this.#random.next() < this.faults.cutShare
    const startTime = this.model.callTime * (isCached ? 1 - this.model.prefixSaving : 1)
    if (!await this.#simulateWork(startTime * this.#randomFactor(), signal)) return this.#aborted(signal, inputUsage)
    if (call.prefix !== undefined && call.prefix === this.faults.deadlyPrefix) {
      this.kill()
      return Result.err({ outcome: 'cut', detail: 'the endpoint died', usage: inputUsage })
    }
    if (isFailing) return Result.err({ outcome: 'failed', detail: 'the endpoint answered 500', usage: inputUsage })
    this.#performEffect(call)
    if (call.isStreamed || this.model.chunks > 0) return await this.#stream(call, onChunk, signal, inputUsage, isCut)
    if (isCut) return Result.err({ outcome: 'cut', detail: 'the connection was cut', usage: inputUsage })
    return Result.ok(this.#answer(call, inputUsage, ''))
  }

  async #stream (
    call: StageCall, onChunk: (chunk: StageChunk) => void, signal: AbortSignal, inputUsage: StageUsage, isCut: boolean
  ): Promise<Result<StageAnswer, CallError>> {
    let text = call.resume?.text ?? ''
    let usage = inputUsage
    const first = call.resume?.chunks ?? 0
    const cutAt = first + Math.floor((this.model.chunks - first) * HALF)
    for (let index = first; index < this.model.chunks; index++) {
      if (isCut && index === cutAt) return Result.err({ outcome: 'cut', detail: 'the stream was cut', usage })
      if (index > first && !await this.#simulateWork(this.model.chunkGap, signal)) return this.#aborted(signal, usage)
      const part = `${call.id.request}:${index} `
      text += part
      usage = { ...usage, tokensOut: tokens(usage.tokensOut + this.model.tokensPerChunk) }
      if (call.isStreamed) onChunk({ call: this.#echo(call.id), index, text: part, tokens: this.model.tokensPerChunk })
    }
    return Result.ok(this.#answer(call, usage, text))
  }

  #answer (call: StageCall, usage: StageUsage, text: string): StageAnswer {
    const echo = this.#random.next() < this.faults.crossShare ? this.#otherCallId(call.id) : call.id
    this.#lastCall = call.id
    const body = { madeFor: echo.request, stage: echo.stage, text }
    // The service's own record is right even if the answer is mixed up with another call's.
    if (call.key !== undefined) this.#effects.end(call.key, { ...body, madeFor: call.id.request })
    return { call: echo, body, usage }
  }

  /** Performs an external side effect, such as placing an order; every run is recorded in the trace. */
  #performEffect (call: StageCall): void {
    if (call.key === undefined) return
    this.#effects.begin(call.key)
    this.#trace.add({
      type: 'effect',
      at: this.#clock.now(),
      service: call.service,
      workspace: call.workspace,
      key: callerKey(call.workspace, call.key),
      request: call.id.request
    })
  }

  #echo (id: CallId): CallId {
    return this.#random.next() < this.faults.crossShare ? this.#otherCallId(id) : id
  }

  #otherCallId (id: CallId): CallId {
    return this.#lastCall ?? { ...id, request: brand<RequestId>(`${id.request}-crossed`) }
  }

  /** Works for `span`, and longer while more calls run than the capacity; false if the call was aborted. */
  async #simulateWork (span: number, signal: AbortSignal): Promise<boolean> {
    const overload = Math.max(1, this.running / this.maxConcurrency)
    const wait = this.faults.isHanging ? MAX_HANG : millis(span * overload * this.faults.slowFactor)
    return await waitUnlessAborted(this.#clock, wait, signal)
  }

  #randomFactor (): number {
    return 1 - SPREAD + 2 * SPREAD * this.#random.next()
  }

  #aborted (signal: AbortSignal, usage: StageUsage): Result<StageAnswer, CallError> {
    const isCut = signal.reason === CUT
    return Result.err({ outcome: isCut ? 'cut' : 'cancelled', detail: isCut ? 'the endpoint died' : 'cancelled', usage })
  }

  #abortAll (): void {
    for (const abort of this.#running.values()) abort.abort(CUT)
  }

  #emitCache (change: Pick<CacheEvent, 'kind' | 'prefix'>): void {
    this.#cacheEvents++
    const event: CacheEvent = {
      endpoint: this.listed.id, incarnation: this.incarnation, sequence: this.#cacheEvents, ...change
    }
    for (const listener of this.#cacheListeners) listener(event)
  }

  #traceStart (call: StageCall, instance: InstanceId | undefined): void {
    this.#trace.add({
      type: 'work-started',
      at: this.#clock.now(),
      endpoint: this.listed.id,
      incarnation: this.incarnation,
      domain: this.listed.domain,
      service: this.listed.service,
      version: this.listed.version,
      call: call.id,
      instance,
      key: call.key === undefined ? undefined : callerKey(call.workspace, call.key),
      running: this.running,
      maxConcurrency: this.maxConcurrency,
      isWarm: this.isWarm,
      isSilentRestart: this.#isSilentRestart
    })
  }
}

/** Abort reason of calls that end because the endpoint was killed or restarted. */
const CUT = Symbol('cut')

import { millis, refusal } from '@papayahill/common'
import type { Millis, ServiceId } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import { INSTANCE_STOPPED } from './abortReasons.js'
import { FORWARDING_EVENTS } from './events.js'
import type { ForwardContext } from './ForwardContext.js'
import { ForwardRun } from './ForwardRun.js'
import { isCutOff } from './isCutOff.js'
import type { RunEnd } from './RunEnds.js'
import { logQuarantined } from './logQuarantined.js'
import { PendingRequest } from './PendingRequest.js'
import { pickService } from './pickService.js'
import type { CallCheck } from './CallQuarantine.js'
import { RequestAdmission } from './RequestAdmission.js'
import { ServiceGate } from './ServiceGate.js'
import type { CallerSink, ForwardRequest } from './types.js'

/** Observes the end of each request, for metrics. */
export interface ForwardObserver {
  requestEnded (request: ForwardRequest, end: RunEnd, took: Millis): void
}

/** Slots of an endpoint that can be used: with a limit, not more than the requests of one second. */
const usableSlots = ({ record, limit }: Endpoint): number => Math.min(record.slots, Math.ceil(limit?.perSecond ?? Infinity))

/**
 * Serves requests with opaque bodies: admits them, runs their stages and calls an endpoint of their service.
 *
 * @example
 * await forwarder.serve(request, sink)
 */
export class Forwarder {
  readonly #context: ForwardContext
  readonly #observer: ForwardObserver
  readonly #gate: ServiceGate
  readonly #admission: RequestAdmission
  readonly #pending = new Set<PendingRequest>()

  constructor (context: ForwardContext, observer: ForwardObserver) {
    this.#context = context
    this.#observer = observer
    this.#gate = new ServiceGate(context.clock)
    this.#admission = new RequestAdmission(context)
    context.quarantines.onQuarantine(() => {
      for (const pending of this.#pending) pending.applyQuarantines()
    })
    // Requests that go over peers need no slot here, and must not wait for calls to endpoints that are not reached.
    context.reach.onChange((service, isReached) => { if (!isReached) this.#gate.open(service) })
  }

  /** Requests without a final answer. */
  get running (): number {
    return this.#pending.size
  }

  /** Requests queued for a service. */
  get waiting (): number {
    return this.#gate.waiting
  }

  /** Requests queued for one service. */
  waitingFor (service: ServiceId): number {
    return this.#gate.waitingFor(service)
  }

  async serve (request: ForwardRequest, sink: CallerSink): Promise<void> {
    const { clock, log, arrivals } = this.#context
    const pending = new PendingRequest({ clock, log, arrivals, request, sink })
    this.#pending.add(pending)
    try {
      const end = await pending.endOf(() => this.#serve(pending, sink))
      this.#finish(request, sink, end)
    } finally {
      this.#pending.delete(pending)
    }
  }

  /** A planned stop begins: requests that cannot be answered by `endsAt` are refused as soon as this is known. */
  beginStop (endsAt: Millis): void {
    this.#context.stopTime.begin(endsAt)
    this.#context.stages.router.endBy(endsAt)
  }

  /** Gives every request its final answer: a refusal if it has not run, wherever it waits; a failure or a cut otherwise. */
  endStop (): void {
    for (const pending of this.#pending) pending.stop()
  }

  async #serve (pending: PendingRequest, sink: CallerSink): Promise<RunEnd> {
    const { request } = pending
    const { random, clock, unsent } = this.#context
    const service = pickService(random, request.route)
    if (service === undefined) return { kind: 'failed', failure: refusal('no-endpoint', 'the route has no target service') }
    const check = this.#context.callQuarantine.check(request)
    const quarantined = this.#checkQuarantine(request, service, check)
    if (quarantined !== undefined) return quarantined
    const run = (isCounted: boolean): Promise<RunEnd> => {
      const begun = new ForwardRun({ context: this.#context, request, service, sink, check, isCounted })
      pending.begin(begun)
      return begun.run()
    }
    if (isCutOff(this.#context, request, service)) return await run(false)
    const turn = { service, slots: this.#slotsOf(service), priority: request.priority, signal: pending.withdrawal }
    const refused = this.#admission.check(request, service, this.#gate.expectedWait(turn))
    if (refused !== undefined) return refused
    this.#countRequest(request, service)
    const admittedAt = clock.now()
    unsent.add(service, request)
    try {
      return await this.#gate.run(turn, async () => {
        const hasWaited = clock.now() > admittedAt
        const late = hasWaited ? this.#admission.checkTurn(request, service) : undefined
        return late ?? await this.#gate.measure(service, () => run(true))
      })
    } finally {
      unsent.delete(service, request)
    }
  }

  #slotsOf (service: ServiceId): number {
    const { clock, directory } = this.#context
    const now = clock.now()
    const available = directory.usable(service).filter((endpoint) => endpoint.isAvailable(now))
    return available.reduce((sum, endpoint) => sum + usableSlots(endpoint), 0)
  }

  /** Counts the request for the retry budgets, once for all instances that it passes. */
  #countRequest ({ route, pieceCounts, detoured }: ForwardRequest, service: ServiceId): void {
    const { retries } = this.#context
    if (detoured?.isCounted === true) return
    retries.countRequests(service)
    for (const stage of route.stages) retries.countRequests(stage.service, pieceCounts[stage.index])
  }

  /** The end of a request that no endpoint may get; undefined if one may. */
  #checkQuarantine (request: ForwardRequest, service: ServiceId, check: CallCheck): RunEnd | undefined {
    const quarantine = check.quarantineOf(this.#context.directory.usable(service))
    if (quarantine === undefined) return undefined
    const { detail } = logQuarantined(this.#context, request, quarantine)
    return { kind: 'failed', failure: refusal('quarantined', detail), cause: 'quarantine' }
  }

  #finish (request: ForwardRequest, sink: CallerSink, end: RunEnd): void {
    const { clock, log, stopTime } = this.#context
    const took = millis(clock.now() - request.arrivedAt)
    const stopLeftMs = stopTime.isStopping ? millis(stopTime.endsAt - clock.now()) : undefined
    const fields = { request: request.attempt, route: request.route.name, workspace: request.workspace, tookMs: took }
    // A request from a peer is counted where its caller is.
    if (request.detoured === undefined) this.#observer.requestEnded(request, end, took)
    if (end.kind === 'answered') return log.emit(FORWARDING_EVENTS.requestAnswered, { ...fields, status: end.status })
    const isCallerGone = request.signal.aborted && request.signal.reason !== INSTANCE_STOPPED
    if (isCallerGone) return log.emit(FORWARDING_EVENTS.callerGone, fields)
    if (end.kind === 'cut') return log.emit(FORWARDING_EVENTS.requestCut, { ...fields, detail: end.detail, stopLeftMs })
    const { failure, cause } = end
    if (failure.kind === 'over-capacity') for (const { service } of request.route.targets) this.#context.runs?.requestRefused(service)
    const event = failure.run === 'not-run' ? FORWARDING_EVENTS.requestRefused : FORWARDING_EVENTS.requestFailed
    log.emit(event, {
      ...fields, kind: failure.kind, run: failure.run, cause, detail: failure.detail, retryAfterMs: failure.retryAfter, stopLeftMs
    })
    sink.fail(failure)
  }
}

import { millis, MovingMeans } from '@papayahill/common'
import type { Clock, Millis } from '@papayahill/common'
import type { Endpoint, ServingRoute } from '@papayahill/directory'
import type { LossJudge } from '@papayahill/reach'
import { DEFAULT_ROUTE_TIME, SAME_LOSS_SPAN, SLOW_FACTOR, SLOW_MARGIN, USUAL_TIME_WEIGHT } from './constants.js'
import type { CallEnd } from './types.js'
import type { VersionCall } from './VersionGate.js'

export type CallVerdict = 'good' | 'bad'

export interface CallMonitorOptions {
  readonly clock: Clock
  /** Whether an endpoint runs the version on trial; calls to the others define the usual time. */
  readonly isOnTrial: (endpoint: Endpoint) => boolean
  /** Called once for each call that says something about its endpoint's version. */
  readonly onVerdict: (endpoint: Endpoint, route: ServingRoute, verdict: CallVerdict) => void
  /** Tells lost and late calls of an endpoint from those of an instance that is cut off from all of them. */
  readonly losses: LossJudge
}

interface MonitoredCall {
  readonly endpoint: Endpoint
  readonly route: ServingRoute
  readonly sentAt: Millis
  firstByteAt: Millis | undefined
  hasVerdict: boolean
}

/**
 * Classifies calls as good or bad. An overdue call counts as bad while it is still pending: if only answers were
 * counted, a version whose slow answers never arrive in time would look good by its fast ones.
 *
 * @example
 * const call = monitor.track(endpoint, route)
 * call.answerBegan()
 * call.callEnded(end, false)
 */
export class CallMonitor {
  readonly #options: CallMonitorOptions
  readonly #open = new Set<MonitoredCall>()
  /** When each endpoint last lost a call with its connection. */
  readonly #lastLossAt = new WeakMap<Endpoint, Millis>()
  /** Usual time to the first byte of an answer, by route. */
  readonly #usualTimes = new MovingMeans<string>({ weight: USUAL_TIME_WEIGHT, initial: DEFAULT_ROUTE_TIME })

  constructor (options: CallMonitorOptions) {
    this.#options = options
  }

  track (endpoint: Endpoint, route: ServingRoute): VersionCall {
    const call: MonitoredCall = { endpoint, route, sentAt: this.#options.clock.now(), firstByteAt: undefined, hasVerdict: false }
    this.#open.add(call)
    return {
      answerBegan: () => this.#answerBegan(call),
      callEnded: (end, isCancelled) => this.#callEnded(call, end, isCancelled)
    }
  }

  /** Checks for overdue answers; call it periodically. */
  tick (): void {
    for (const call of this.#open) this.#checkWait(call)
  }

  #answerBegan (call: MonitoredCall): void {
    if (call.firstByteAt !== undefined) return
    this.#checkWait(call)
    call.firstByteAt = this.#options.clock.now()
  }

  #callEnded (call: MonitoredCall, end: CallEnd, isCancelled: boolean): void {
    this.#open.delete(call)
    this.#checkWait(call)
    if (isCancelled || (end.kind === 'lost' && end.isConnectionLost && !this.#isFirstLoss(call))) return
    if (end.kind === 'lost') return this.#setLostVerdict(call, (tell) => this.#options.losses.judgeLoss(call.endpoint, tell))
    if (end.kind === 'answered' && end.status >= 500) return this.#setVerdict(call, 'bad')
    if (end.kind !== 'answered' && end.kind !== 'streamed') return
    this.#updateUsualTime(call)
    this.#setVerdict(call, 'good')
  }

  /** Calls that are lost together with their endpoint's connections have one cause, and count once. */
  #isFirstLoss ({ endpoint }: MonitoredCall): boolean {
    const now = this.#options.clock.now()
    const last = this.#lastLossAt.get(endpoint) ?? -Infinity
    this.#lastLossAt.set(endpoint, now)
    return now - last > SAME_LOSS_SPAN
  }

  /** A first byte far later than usual is bad, except at a cold endpoint, whose times say nothing about its version. */
  #checkWait (call: MonitoredCall): void {
    const { clock } = this.#options
    if (call.firstByteAt !== undefined || call.hasVerdict) return
    const usual = this.#usualTimes.known(call.route.name)
    const isSlow = usual !== undefined && clock.now() - call.sentAt > SLOW_FACTOR * usual + SLOW_MARGIN
    if (!isSlow) return
    if (call.endpoint.isCold(clock.now())) call.hasVerdict = true
    else this.#setLostVerdict(call, (tell) => this.#options.losses.judgeWait(call.endpoint, tell))
  }

  /** A bad verdict that counts once it is known to be the endpoint's. */
  #setLostVerdict (call: MonitoredCall, judge: (tell: () => void) => void): void {
    if (call.hasVerdict) return
    call.hasVerdict = true
    judge(() => this.#options.onVerdict(call.endpoint, call.route, 'bad'))
  }

  #setVerdict (call: MonitoredCall, verdict: CallVerdict): void {
    if (call.hasVerdict) return
    call.hasVerdict = true
    this.#options.onVerdict(call.endpoint, call.route, verdict)
  }

  #updateUsualTime ({ endpoint, route, sentAt, firstByteAt }: MonitoredCall): void {
    const { clock, isOnTrial } = this.#options
    if (isOnTrial(endpoint)) return
    this.#usualTimes.record(route.name, millis((firstByteAt ?? clock.now()) - sentAt))
  }
}

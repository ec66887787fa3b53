import { leastStageTime, longestChain } from '@papayahill/batching'
import { millis, refusal } from '@papayahill/common'
import type { Millis, ServiceId } from '@papayahill/common'
import type { StageNode } from '@papayahill/directory'
import { timeUntilAvailable } from '@papayahill/limits'
import { admit } from './admission.js'
import type { Admission, Forecast } from './admission.js'
import { answerTimeOf } from './answerTimeOf.js'
import { STOP_RETRY_AFTER } from './constants.js'
import { FORWARDING_EVENTS } from './events.js'
import type { ForwardContext } from './ForwardContext.js'
import { logLimited } from './logLimited.js'
import { returnTimeOf } from './returnTimeOf.js'
import type { RunEnd } from './RunEnds.js'
import type { ForwardRequest } from './types.js'

const NO_WAIT = millis(0)

/**
 * Refuses requests that cannot be answered in time: when they arrive, and again when they have had to wait for their turn.
 *
 * @example
 * const refused = admission.check(request, service, gate.expectedWait(turn))
 * if (refused !== undefined) return refused
 */
export class RequestAdmission {
  readonly #context: ForwardContext

  constructor (context: ForwardContext) {
    this.#context = context
  }

  /** The end of an arriving request that is not admitted; undefined if it is. `queueWait` is the expected time until its turn. */
  check (request: ForwardRequest, service: ServiceId, queueWait: Millis): RunEnd | undefined {
    const given = this.#forecastOf(request, service, queueWait)
    const forecast = queueWait > 0 ? { ...given, answerTime: this.#queuedAnswerTime(request, given) } : given
    const refused = this.#refuse(request, service, forecast)
    if (refused === undefined) this.#context.log.emit(FORWARDING_EVENTS.requestTaken, this.#logFields(request, service, forecast))
    return refused
  }

  /** The end of an admitted request that has waited too long for its turn; undefined if it may run. */
  checkTurn (request: ForwardRequest, service: ServiceId): RunEnd | undefined {
    const forecast = this.#forecastOf(request, service, NO_WAIT)
    // The request itself is one of those that were not sent yet.
    const answerTime = this.#queuedAnswerTime(request, forecast)
    return this.#refuse(request, service, { ...forecast, unsent: forecast.unsent - 1, answerTime })
  }

  #refuse (request: ForwardRequest, service: ServiceId, forecast: Forecast): RunEnd | undefined {
    const admission = admit(forecast)
    if (admission.kind === 'admitted') return undefined
    this.#context.log.emit(FORWARDING_EVENTS.requestUntimely, this.#logFields(request, service, forecast))
    if (admission.cause === 'limit') logLimited(this.#context, request, this.#context.directory.usable(service)[0]!)
    return this.#refusal(service, admission)
  }

  #forecastOf (request: ForwardRequest, service: ServiceId, queueWait: Millis): Forecast {
    const { clock, directory, limits, unsent, stages, stopTime } = this.#context
    const { route, pieceCounts, deadline } = request
    const now = clock.now()
    const endpoints = directory.usable(service)
    return {
      timeLeft: millis(Math.min(deadline, stopTime.endsAt) - now),
      queueWait,
      stageWaits: this.#stageWaits(request),
      stageTime: leastStageTime(route.stages, pieceCounts, stages.profileOf),
      timeUntilAvailable: timeUntilAvailable(limits, endpoints, now),
      tokensPerSecond: endpoints.length === 0 ? Infinity : limits.fairShare(endpoints),
      unsent: unsent.count(service),
      answerTime: answerTimeOf(this.#context, request, endpoints)
    }
  }

  /**
   * Time for the answer of a request that has to wait, at least the usual time of a plain one. Where nothing waits, requests
   * are sent however long answers took before, so that endpoints that are fast again are noticed.
   */
  #queuedAnswerTime ({ route }: ForwardRequest, { answerTime }: Forecast): Millis {
    const usual = route.kind === 'streaming' ? undefined : this.#context.answerTimes.known(route.name)
    return millis(Math.max(answerTime, usual ?? 0))
  }

  #logFields (
    { attempt, route, priority, configVersion }: ForwardRequest, service: ServiceId, forecast: Forecast
  ): Record<string, string | number | undefined> {
    return {
      request: attempt,
      route: route.name,
      service,
      priority,
      config: configVersion,
      timeLeftMs: forecast.timeLeft,
      queueMs: forecast.queueWait > 0 ? forecast.queueWait : undefined,
      waitMs: forecast.stageWaits,
      stageMs: forecast.stageTime,
      unsent: forecast.unsent,
      tokensPerSecond: forecast.tokensPerSecond === Infinity ? undefined : forecast.tokensPerSecond,
      opensInMs: forecast.timeUntilAvailable > 0 ? forecast.timeUntilAvailable : undefined,
      answerMs: forecast.answerTime
    }
  }

  #refusal (service: ServiceId, { cause, forecast, retryAfter }: Extract<Admission, { kind: 'refused' }>): RunEnd {
    const detail = cause === 'limit'
      ? `the limits of all endpoints of ${service} leave no token in time`
      : `the forecast of ${Math.round(forecast)} ms exceeds the deadline`
    if (this.#context.stopTime.isStopping) {
      return { kind: 'failed', failure: refusal('draining', detail, { retryAfter: STOP_RETRY_AFTER }), cause }
    }
    const failure = refusal('over-capacity', detail, { retryAfter: returnTimeOf(this.#context, service, retryAfter) })
    return { kind: 'failed', failure, cause }
  }

  /** Queueing time at the least busy endpoint of each stage, summed along the longest chain. */
  #stageWaits ({ route, pieceCounts }: ForwardRequest): Millis {
    const { stages: { backlogs }, directory } = this.#context
    const waits = route.stages.map((stage) => {
      const endpoints = directory.healthy(stage.service)
      return (pieceCounts[stage.index] ?? 0) === 0 || endpoints.length === 0 ? 0 : backlogs.leastBacklog(endpoints)
    })
    const chainTime = longestChain<StageNode>(({ after }) => after.map((index) => route.stages[index]!), ({ index }) => waits[index]!)
    return millis(Math.max(0, ...route.stages.map(chainTime)))
  }
}

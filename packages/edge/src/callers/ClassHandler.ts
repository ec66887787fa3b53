import type { Clock, EventLog, Failure } from '@papayahill/common'
import type { EntryInstance } from '@papayahill/instance'
import type { Answer, AnswerSink, CallerRequest } from '@papayahill/pipeline'
import type { InstanceLimits, InstanceSecrets } from '@papayahill/settings'
import type { Result } from 'true-myth'
import { hasIdempotencyKey, sendJson } from '../createApp.js'
import type { Exchange } from '../createApp.js'
import { EDGE_EVENTS } from '../events.js'
import { refuseAtEdge, sendProblem } from '../problem.js'
import type { RequestIds } from '../RequestIds.js'
import { TokenTable } from '../TokenTable.js'
import { EventStreamSink } from './EventStreamSink.js'
import { readCallerRequest } from './readCallerRequest.js'
import type { CallerContext } from './readCallerRequest.js'

export interface CallersAppOptions {
  readonly instance: EntryInstance
  readonly clock: Clock
  readonly log: EventLog
  readonly limits: InstanceLimits
  readonly secrets: InstanceSecrets
  readonly ids: RequestIds
}

/** Sink for answers that are not streamed. */
const DISCARD_SINK: AnswerSink = { chunk: () => true, drained: () => Promise.resolve() }

const REPLAYED = { 'idempotency-replayed': 'true' }

const sendAnswer = (exchange: Exchange, result: Result<Answer, Failure>): void => {
  if (exchange.res.destroyed) return
  if (result.isErr) return sendProblem(exchange.res, result.error, exchange.id)
  sendJson(exchange, result.value.body, result.value.isReplayed ? REPLAYED : {})
}

const endStream = (exchange: Exchange, sink: EventStreamSink, result: Result<Answer, Failure>): void => {
  if (exchange.res.destroyed) return
  if (result.isOk) sink.end(result.value)
  else if (sink.isStarted) sink.fail(result.error)
  else sendProblem(exchange.res, result.error, exchange.id)
}

/** Handles requests of callers, with complete or streamed answers. */
export class ClassHandler {
  readonly #options: CallersAppOptions
  readonly #context: CallerContext
  #wasReady = false

  constructor (options: CallersAppOptions) {
    this.#options = options
    this.#context = { ...options, tokens: new TokenTable(options.secrets.workspaces) }
  }

  /**
   * A draining instance still serves requests; only its health check sends callers to other instances.
   * Its answers then close their connections, so that none is idle when the listener closes.
   */
  readonly handle = async (exchange: Exchange): Promise<void> => {
    this.#wasReady ||= this.#options.instance.isReady
    if (!this.#wasReady) {
      return sendProblem(exchange.res, refuseAtEdge('not-ready', 'the instance is starting', hasIdempotencyKey(exchange)), exchange.id)
    }
    if (!this.#options.instance.isReady) exchange.res.setHeader('connection', 'close')
    const abort = new AbortController()
    exchange.res.on('close', () => { if (!exchange.res.writableFinished) abort.abort() })
    const request = await readCallerRequest(this.#context, exchange, abort.signal)
    if (request.isErr) return this.#refuse(exchange, request.error)
    if (request.value.isStreamed) await this.#stream(exchange, request.value)
    else sendAnswer(exchange, await this.#options.instance.runner.run(request.value, DISCARD_SINK))
  }

  #refuse (exchange: Exchange, cause: Failure): void {
    if (cause.kind === 'unauthorized') this.#options.log.emit(EDGE_EVENTS.tokenRefused, { request: exchange.id })
    if (!exchange.req.complete) exchange.res.setHeader('connection', 'close')
    sendProblem(exchange.res, cause, exchange.id)
  }

  async #stream (exchange: Exchange, request: CallerRequest): Promise<void> {
    const { clock, limits, log, instance } = this.#options
    const sink = new EventStreamSink({
      clock,
      res: exchange.res,
      request: exchange.id,
      maxBufferedBytes: limits.slowCallerBytes,
      drainTimeout: limits.slowCallerPatience,
      onSlow: () => {
        log.emit(EDGE_EVENTS.slowCallerCut, { request: exchange.id, workspace: request.workspace })
        exchange.res.destroy()
      }
    })
    endStream(exchange, sink, await instance.runner.run(request, sink))
  }
}

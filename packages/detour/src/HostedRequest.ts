import { millis } from '@papayahill/common'
import type { Clock, EventLog, Failure, Incarnation, InstanceId, Millis } from '@papayahill/common'
import { AnswerBody } from '@papayahill/connections'
import { LATE_ANSWER_GRACE } from '@papayahill/forwarding'
import type { CallerSink, ForwardRequest } from '@papayahill/forwarding'
import type { Peers } from '@papayahill/peers'
import { END_MARGIN, PRESENCE_CHECK_PERIOD } from './constants.js'
import { packMessage } from './detourMessages.js'
import { DETOUR_EVENTS } from './events.js'
import { peerPresence } from './peerPresence.js'
import { PartReceiver } from './PartReceiver.js'
import { PartSender } from './PartSender.js'
import { PeerSink } from './PeerSink.js'
import type { ResolvedRequest } from './RequestResolver.js'
import type { DetourMessage, HandOverId, Offer, Part } from './types.js'

/** A process that hands a request over. */
export interface Origin {
  readonly id: InstanceId
  readonly incarnation: Incarnation
}

export interface HostedRequestOptions {
  readonly clock: Clock
  readonly log: EventLog
  readonly peers: Peers
  readonly id: HandOverId
  readonly from: Origin
  readonly offer: Offer
  /** Monotonic time at which the offer came; a delayed event loop reads it later. */
  readonly receivedAt: Millis
  readonly resolved: ResolvedRequest
  readonly serve: (request: ForwardRequest, sink: CallerSink) => Promise<void>
  readonly isOpenElsewhere: (failure: Failure) => boolean
}

/**
 * One hand-over at the peer that took it: runs the request once its body is here, and stops when its origin is gone.
 *
 * @example
 * await new HostedRequest(options).run()
 */
export class HostedRequest {
  readonly #options: HostedRequestOptions
  readonly #sender: PartSender
  readonly #receiver: PartReceiver
  readonly #controller = new AbortController()
  readonly #body: AnswerBody
  readonly #received: Promise<boolean>
  #settleReceived: (isComplete: boolean) => void = () => {}
  readonly #arrivedAt: Millis
  readonly #deadline: Millis

  constructor (options: HostedRequestOptions) {
    const { id, offer, receivedAt } = options
    this.#options = options
    this.#body = new AnswerBody(options.resolved.maxBody)
    this.#sender = new PartSender((number, part) => this.#send({ kind: 'part', id, number, part }))
    this.#receiver = new PartReceiver((count) => this.#send({ kind: 'confirm', id, count }))
    this.#received = new Promise((resolve) => { this.#settleReceived = resolve })
    this.#arrivedAt = millis(receivedAt - offer.age)
    this.#deadline = millis(receivedAt + offer.timeLeft)
  }

  get from (): Origin {
    return this.#options.from
  }

  /** Resolves once the request has ended here and its answer has been sent, or nobody waits for it. */
  async run (): Promise<void> {
    const { clock, serve, isOpenElsewhere, log, offer, from } = this.#options
    const begunAt = clock.now()
    const timer = clock.every(PRESENCE_CHECK_PERIOD, () => this.#check())
    const isComplete = await this.#received
    const sink = new PeerSink(this.#sender, this.#controller, isOpenElsewhere)
    try {
      if (isComplete) await serve(this.#request(), sink)
    } catch (err) {
      const detail = err instanceof Error ? err.stack ?? err.message : String(err)
      log.emit(DETOUR_EVENTS.handOverFaulty, { request: offer.attempt, from: from.id, detail })
    } finally {
      // An error ends this request alone; its origin must not take what it has for a whole answer.
      sink.cut()
      while (!this.#sender.isEmpty && !this.#controller.signal.aborted) await clock.sleep(PRESENCE_CHECK_PERIOD)
      timer.cancel()
      log.emit(DETOUR_EVENTS.handOverServed, {
        request: offer.attempt, from: from.id, cancelled: this.#controller.signal.aborted, tookMs: millis(clock.now() - begunAt)
      })
    }
  }

  receivePart (number: number, part: Part): void {
    const order = this.#receiver.take(number)
    if (order === 'gap') return this.cancel()
    if (order === 'copy' || part.kind !== 'body') return
    if (!this.#body.add(part.bytes)) return this.cancel()
    if (part.isLast) this.#settleReceived(true)
  }

  receiveConfirm (count: number): void {
    this.#sender.confirm(count)
  }

  /** Nobody waits for the answer any more. */
  cancel (): void {
    this.#controller.abort()
    this.#settleReceived(false)
  }

  #check (): void {
    const { clock, peers, from } = this.#options
    const isLate = clock.now() > this.#deadline + LATE_ANSWER_GRACE + END_MARGIN
    if (isLate || peerPresence(peers, from.id, from.incarnation) === 'gone') this.cancel()
  }

  #request (): ForwardRequest {
    const { offer, resolved } = this.#options
    return {
      attempt: offer.attempt,
      method: offer.method,
      path: offer.path,
      headers: offer.headers,
      body: offer.hasBody ? this.#body.bytes() : undefined,
      route: resolved.route,
      workspace: offer.workspace,
      priority: offer.priority,
      isAllowedIn: resolved.isAllowedIn,
      configVersion: resolved.configVersion,
      arrivedAt: this.#arrivedAt,
      deadline: this.#deadline,
      prompt: offer.prompt,
      resumeAfter: offer.resumeAfter,
      pieceCounts: offer.pieceCounts,
      pieceKey: offer.pieceKey,
      signal: this.#controller.signal,
      detoured: {
        runs: offer.runs,
        isCounted: offer.isCounted,
        onRun: (runs) => this.#sender.push({ kind: 'run', runs })
      }
    }
  }

  #send (message: DetourMessage): void {
    this.#options.peers.send(this.from.id, 'detour', packMessage(message))
  }
}

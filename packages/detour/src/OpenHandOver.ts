import { millis } from '@papayahill/common'
import type { Clock, Incarnation, InstanceId, Millis } from '@papayahill/common'
import { AnswerBody } from '@papayahill/connections'
import { EventScanner, LATE_ANSWER_GRACE, MAX_BUFFERED_ANSWER } from '@papayahill/forwarding'
import type { HandOver, HandOverEnd } from '@papayahill/forwarding'
import type { Peers } from '@papayahill/peers'
import { END_MARGIN, PRESENCE_CHECK_PERIOD, TAKE_TIMEOUT, TAKE_TIME_SHARE } from './constants.js'
import { packMessage, unpackOfferAnswer } from './detourMessages.js'
import { peerPresence } from './peerPresence.js'
import { PartReceiver } from './PartReceiver.js'
import { PartSender } from './PartSender.js'
import { partsOf } from './partsOf.js'
import type { DetourMessage, HandOverId, Offer, Part } from './types.js'

export interface OpenHandOverOptions {
  readonly clock: Clock
  readonly peers: Peers
  readonly id: HandOverId
  readonly given: HandOver
}

/** What the peer has answered so far. */
interface Answer {
  readonly status: number
  readonly headers: readonly string[]
  readonly isStream: boolean
  readonly scanner: EventScanner
  readonly body: AnswerBody
}

type PartHandlers = { readonly [Kind in Part['kind']]: (part: Extract<Part, { readonly kind: Kind }>) => void }

/**
 * One hand-over at the instance that received the request. Until the peer has taken it, the peer has no body and cannot run it,
 * so that an offer without an answer has not run.
 *
 * @example
 * const end = await new OpenHandOver({ clock, peers, id, given }).run()
 */
export class OpenHandOver {
  readonly #options: OpenHandOverOptions
  readonly #sender: PartSender
  readonly #receiver: PartReceiver
  readonly #ended: Promise<HandOverEnd>
  #end: (end: HandOverEnd) => void = () => {}
  #runs: number
  #answer: Answer | undefined
  #isEnded = false

  readonly #handlers: PartHandlers = {
    body: () => this.#lose('the peer sent a body'),
    run: ({ runs }) => { this.#runs = Math.max(this.#runs, runs) },
    head: ({ status, headers, isStream }) => this.#begin({
      status, headers, isStream, scanner: new EventScanner(), body: new AnswerBody(MAX_BUFFERED_ANSWER)
    }),
    data: ({ bytes }) => this.#receiveData(bytes),
    end: () => this.#complete(),
    cut: () => this.#lose('the peer aborted the answer'),
    fail: ({ failure }) => this.#end({ kind: 'failed', failure }),
    'not-taken': ({ detail, retryAfter }) => this.#end({ kind: 'not-taken', detail, retryAfter })
  }

  constructor (options: OpenHandOverOptions) {
    const { id, given } = options
    this.#options = options
    this.#runs = given.runs + 1
    this.#sender = new PartSender((number, part) => this.#send({ kind: 'part', id, number, part }))
    this.#receiver = new PartReceiver((count) => this.#send({ kind: 'confirm', id, count }))
    this.#ended = new Promise((resolve) => { this.#end = resolve })
  }

  get to (): InstanceId {
    return this.#options.given.to.id
  }

  /** The peer's process that was offered the request. */
  get incarnation (): Incarnation {
    return this.#options.given.to.incarnation
  }

  async run (): Promise<HandOverEnd> {
    const { id, given: { request: { signal } } } = this.#options
    const onAbort = (): void => this.#lose('the request was cancelled')
    signal.addEventListener('abort', onAbort, { once: true })
    if (signal.aborted) onAbort()
    const end = await this.#offer() ?? await this.#watch()
    this.#isEnded = true
    signal.removeEventListener('abort', onAbort)
    if (end.kind === 'lost' || end.kind === 'not-taken') this.#send({ kind: 'cancel', id })
    return end
  }

  receivePart (number: number, part: Part): void {
    if (this.#isEnded) return
    const order = this.#receiver.take(number)
    if (order === 'gap') this.#lose('a part of the answer is missing')
    if (order === 'next') (this.#handlers[part.kind] as (part: Part) => void)(part)
  }

  receiveConfirm (count: number): void {
    this.#sender.confirm(count)
  }

  /** Waits for the end, and ends the hand-over if the peer goes away, or is silent and another instance may get the request. */
  async #watch (): Promise<HandOverEnd> {
    const timer = this.#options.clock.every(PRESENCE_CHECK_PERIOD, () => this.#check())
    const end = await this.#ended
    timer.cancel()
    return end
  }

  /** Offers the request, and sends its body once the peer has taken it; the end if it has not. */
  async #offer (): Promise<HandOverEnd | undefined> {
    const { clock, peers, id } = this.#options
    const message = packMessage({ kind: 'offer', id, offer: this.#offerOf() })
    const timeout = this.#takeTimeout
    const asked = peers.ask(this.to, 'detour', message, timeout)
    // The timeout of a question begins once there is a link; a dial may take longer.
    const timer = clock.after(timeout, () => this.#lose('the peer did not answer in time'))
    const answer = await Promise.race([asked, this.#ended])
    timer.cancel()
    if ('kind' in answer) return { kind: 'not-taken', detail: 'detail' in answer ? answer.detail : answer.kind }
    if (answer.isErr) return { kind: 'not-taken', detail: answer.error.detail }
    const { isTaken, ...declined } = unpackOfferAnswer(answer.value)
    if (!isTaken) return { kind: 'not-taken', detail: 'the peer gave no answer', ...declined }
    this.#sendBody()
    return undefined
  }

  get #takeTimeout (): Millis {
    const { clock, given } = this.#options
    return millis(Math.min(TAKE_TIMEOUT, TAKE_TIME_SHARE * (given.endsAt - clock.now())))
  }

  #offerOf (): Offer {
    const { clock, given: { request, service, relay, runs, isCounted, endsAt } } = this.#options
    const { attempt, method, path, headers, body, route, workspace, priority, configVersion, prompt, pieceCounts, pieceKey } = request
    const now = clock.now()
    return {
      to: this.incarnation,
      attempt,
      method,
      path,
      headers,
      hasBody: body !== undefined,
      host: route.host,
      route: route.name,
      service,
      workspace,
      priority,
      configVersion,
      prompt,
      resumeAfter: relay === undefined ? request.resumeAfter : relay.resumeAfter,
      pieceCounts,
      pieceKey,
      age: millis(now - request.arrivedAt),
      timeLeft: millis(endsAt - now),
      runs,
      isCounted
    }
  }

  #sendBody (): void {
    const parts = partsOf(this.#options.given.request.body ?? Buffer.alloc(0))
    for (const [at, bytes] of parts.entries()) this.#sender.push({ kind: 'body', bytes, isLast: at === parts.length - 1 })
  }

  #begin (answer: Answer): void {
    this.#answer = answer
    if (answer.isStream) this.#options.given.relay?.start(answer.status, answer.headers)
  }

  #receiveData (bytes: Buffer): void {
    const { relay } = this.#options.given
    if (this.#answer === undefined) return this.#lose('the answer has no head')
    const { isStream, scanner, body } = this.#answer
    if (!isStream) {
      if (!body.add(bytes)) this.#lose('the answer is too large')
      return
    }
    relay?.forward(scanner, bytes)
    if (scanner.isOversized) this.#lose('a stream event is too large')
  }

  #complete (): void {
    if (this.#answer === undefined) return this.#lose('the answer has no head')
    const { isStream, scanner, body, status, headers } = this.#answer
    if (!isStream) return this.#end({ kind: 'answered', status, headers, body: body.bytes() })
    if (scanner.hasPartialEvent) return this.#lose('the stream ended in the middle of an event')
    this.#end({ kind: 'streamed' })
  }

  #check (): void {
    const { clock, peers, given: { request, mayReplace } } = this.#options
    const presence = peerPresence(peers, this.to, this.incarnation)
    if (presence === 'gone') this.#lose('the peer is gone')
    if (presence === 'silent' && mayReplace(this.#runs)) this.#lose('the peer is silent')
    if (clock.now() > request.deadline + LATE_ANSWER_GRACE + END_MARGIN) this.#lose('the deadline passed')
  }

  #lose (detail: string): void {
    this.#isEnded = true
    this.#end({ kind: 'lost', detail, runs: this.#runs })
  }

  #send (message: DetourMessage): void {
    this.#options.peers.send(this.to, 'detour', packMessage(message))
  }
}

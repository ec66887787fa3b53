import { millis, MILLIS_PER_SECOND } from '@papayahill/common'
import type { Clock, EndpointId, InstanceId, Json, Millis, Random, ServiceId } from '@papayahill/common'
import { noticeOf } from '@papayahill/directory'
import type { Endpoint, EndpointDirectory, LimitNotice } from '@papayahill/directory'
import type { Peers } from '@papayahill/peers'
import { ASK_BURST, ASK_INTERVAL, ASK_TIMEOUT, MIN_PAUSE, NO_ANSWER_BACKOFF, PAUSE_CHECK_PERIOD } from './constants.js'
import { EndpointQuota } from './EndpointQuota.js'
import type { KnownInstances } from './KnownInstances.js'
import { decodePlaceMessage } from './placeMessages.js'
import { decodeTokenAnswer, decodeTokenRequest, encodeTokenAnswer, encodeTokenRequest } from './quotaMessages.js'
import type { TokenOutcome } from './quotaMessages.js'
import { ReturnSchedule } from './ReturnSchedule.js'
import { SharedRooms } from './SharedRooms.js'
import { ShareBucket } from './ShareBucket.js'
import type { ActiveLimit, CallEffect, LimitPart, RequestLimits, RoomPart } from './types.js'

export interface SharedRateLimiterOptions {
  readonly clock: Clock
  readonly random: Random
  readonly directory: Pick<EndpointDirectory, 'get' | 'onGone' | 'receiveAnnouncement'>
  readonly peers: Pick<Peers, 'self' | 'ask' | 'send' | 'handle'>
  readonly known: KnownInstances
  /** Whether one instance at a time calls a service's endpoints for all others; none by default. */
  readonly isCoordinated?: (service: ServiceId) => boolean
}

const NOT_LENT: TokenOutcome = { kind: 'denied', retryIn: NO_ANSWER_BACKOFF }

const activeLimitOf = ({ limit }: Endpoint): ActiveLimit | undefined =>
  limit?.perSecond === undefined ? undefined : { ...limit, perSecond: limit.perSecond }

/**
 * Keeps the limits of requests per second that endpoints name, together with all other instances: a limit is divided into
 * shares that add up to it, and an instance without a token borrows one from an instance that holds a share.
 *
 * @example
 * if (limiter.canSend(endpoint)) choose(endpoint)
 * if (limiter.trySend(endpoint)) writeRequest()
 */
export class SharedRateLimiter implements RequestLimits {
  readonly #options: SharedRateLimiterOptions
  readonly #quotas = new WeakMap<Endpoint, EndpointQuota>()
  /** Those of endpoints that are not gone; calls that end later must not bring them back. */
  readonly #current = new Set<EndpointQuota>()
  readonly #returns: ReturnSchedule
  /** Bounds the traffic of questions to other instances. */
  readonly #asks = new ShareBucket()
  readonly #rooms: SharedRooms
  #checkedAt: Millis

  constructor (options: SharedRateLimiterOptions) {
    const { clock, random, directory, peers, known, isCoordinated = () => false } = options
    this.#options = options
    this.#rooms = new SharedRooms({ clock, random, directory, peers, known, isCoordinated })
    this.#returns = new ReturnSchedule(clock, random)
    this.#checkedAt = clock.now()
    this.#asks.restart({ interval: ASK_INTERVAL, burst: ASK_BURST }, millis(0), clock.now())
    clock.every(PAUSE_CHECK_PERIOD, () => this.#checkPause())
    directory.onGone((endpoint) => {
      const quota = this.#quotas.get(endpoint)
      if (quota !== undefined) this.#current.delete(quota)
    })
    peers.handle('quota', (from, message) => this.#answer(from, message))
  }

  /** Number of endpoints whose limits are kept. */
  get quotaCount (): number {
    return this.#current.size
  }

  canSend (endpoint: Endpoint): boolean {
    const limit = activeLimitOf(endpoint)
    return (limit === undefined || this.#quotaOf(endpoint).canSend(limit)) && this.#rooms.of(endpoint).canChoose()
  }

  trySend (endpoint: Endpoint, takesSlot = true): boolean {
    const limit = activeLimitOf(endpoint)
    const room = this.#rooms.of(endpoint)
    if (takesSlot && !room.canSend()) return false
    return (limit === undefined || this.#quotaOf(endpoint).trySend(limit)) && (!takesSlot || room.trySend())
  }

  callEnded (endpoint: Endpoint, effect: CallEffect, took: Millis): void {
    this.#rooms.of(endpoint).callEnded(effect, took)
  }

  waitForPlace (service: ServiceId, span: Millis): Promise<void> {
    return this.#rooms.waitForPlace(service, span)
  }

  request (endpoint: Endpoint): void {
    const limit = activeLimitOf(endpoint)
    const now = this.#options.clock.now()
    if (limit !== undefined && this.#asks.availableIn(now) === 0) this.#quotaOf(endpoint).request(limit)
    const room = this.#rooms.of(endpoint)
    if (room.wantsPlace && this.#asks.tryTake(now)) room.request()
  }

  availableIn (endpoint: Endpoint): Millis {
    const limit = activeLimitOf(endpoint)
    const tokenIn = limit === undefined ? 0 : this.#quotaOf(endpoint).availableIn(limit)
    return millis(Math.max(tokenIn, this.#rooms.of(endpoint).availableIn()))
  }

  isUnconfirmed (endpoint: Endpoint): boolean {
    const limit = activeLimitOf(endpoint)
    return limit !== undefined && this.#options.clock.now() - limit.confirmedAt >= this.spacing(endpoint)
  }

  spacing ({ limit }: Endpoint): Millis {
    return millis(limit?.perSecond === undefined ? 0 : MILLIS_PER_SECOND / limit.perSecond)
  }

  /** This instance's part in the endpoint's limit; undefined without a limit. */
  partOf (endpoint: Endpoint): LimitPart | undefined {
    const limit = activeLimitOf(endpoint)
    return limit === undefined ? undefined : this.#quotaOf(endpoint).partOf(limit)
  }

  /** This instance's places at the endpoint; undefined unless it is brittle. */
  roomPartOf (endpoint: Endpoint): RoomPart | undefined {
    return this.#rooms.of(endpoint).part()
  }

  /** Requests per second that each instance may send on average if all of the endpoints have limits; Infinity if one has none. */
  fairShare (endpoints: readonly Endpoint[]): number {
    const instances = this.#options.known.ids.length
    return endpoints.reduce((sum, endpoint) => {
      return sum + Math.min((endpoint.limit?.perSecond ?? Infinity) / instances, this.#rooms.of(endpoint).perSecond)
    }, 0)
  }

  /** Time after which the next caller should return that is refused because all of a service's endpoints are limited. */
  nextReturn (service: ServiceId, endpoints: readonly Endpoint[], availableIn: Millis): Millis {
    const perSecond = this.fairShare(endpoints)
    const isFull = endpoints.some(({ isBrittle }) => isBrittle)
    const soonest = isFull ? Math.max(availableIn, Math.min(MILLIS_PER_SECOND, MILLIS_PER_SECOND / perSecond)) : availableIn
    return this.#returns.next(service, perSecond, millis(soonest))
  }

  #quotaOf (endpoint: Endpoint): EndpointQuota {
    this.#checkPause()
    const known = this.#quotas.get(endpoint)
    if (known !== undefined) return known
    const { clock, random, peers, known: instances } = this.#options
    const quota = new EndpointQuota({
      clock, random, endpoint, self: peers.self, known: instances, ask: (holder) => this.#ask(holder, endpoint)
    })
    this.#quotas.set(endpoint, quota)
    if (!endpoint.isGone) this.#current.add(quota)
    return quota
  }

  /** After a pause of this process nothing is left of what it had: others may have used it meanwhile. */
  #checkPause (): void {
    const now = this.#options.clock.now()
    const isPaused = now - this.#checkedAt > MIN_PAUSE
    this.#checkedAt = now
    if (isPaused) for (const quota of this.#current) quota.restart()
  }

  /** Asks a holder for a token; both tell each other the limit that they know. */
  async #ask (holder: InstanceId, endpoint: Endpoint): Promise<TokenOutcome | undefined> {
    const { id, incarnation, limit } = endpoint
    if (limit === undefined || !this.#asks.tryTake(this.#options.clock.now())) return undefined
    const message = encodeTokenRequest({ endpoint: id, incarnation, limit: noticeOf(limit) })
    const received = await this.#options.peers.ask(holder, 'quota', message, ASK_TIMEOUT)
    const answer = received.isOk ? decodeTokenAnswer(received.value) : undefined
    if (answer?.limit !== undefined) this.#learn(id, incarnation, answer.limit)
    return answer
  }

  #answer (from: InstanceId, message: Json): Json | Promise<Json> {
    const placeMessage = decodePlaceMessage(message)
    return placeMessage === undefined ? this.#answerToken(from, message) : this.#rooms.receive(placeMessage)
  }

  #answerToken (from: InstanceId, message: Json): Json {
    const req = decodeTokenRequest(message)
    if (req !== undefined) this.#learn(req.endpoint, req.incarnation, req.limit)
    const endpoint = req === undefined ? undefined : this.#options.directory.get(req.endpoint)
    const isCurrent = endpoint !== undefined && endpoint.incarnation === req?.incarnation
    const limit = isCurrent ? activeLimitOf(endpoint) : undefined
    const outcome = endpoint === undefined || limit === undefined ? NOT_LENT : this.#quotaOf(endpoint).lend(limit, from)
    return encodeTokenAnswer({ ...outcome, limit: isCurrent && endpoint.limit !== undefined ? noticeOf(endpoint.limit) : undefined })
  }

  #learn (endpoint: EndpointId, incarnation: string, notice: LimitNotice): void {
    this.#options.directory.receiveAnnouncement({ kind: 'limit', endpoint, incarnation, notice })
  }
}

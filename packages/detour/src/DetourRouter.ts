import { brand, byRendezvous, millis } from '@papayahill/common'
import type { Clock, DomainId, EventLog, Failure, Incarnation, InstanceId, Json, LoopDelay, Millis, Random, ServiceId } from '@papayahill/common'
import type { ServingRoute } from '@papayahill/directory'
import type { CallerSink, Detour, ForwardRequest, HandOver, HandOverEnd } from '@papayahill/forwarding'
import type { PeerMember, Peers } from '@papayahill/peers'
import type { Reach } from '@papayahill/reach'
import { choosePeer } from './choosePeer.js'
import { BUSY_RETRY_AFTER, HAND_OVERS_PER_CORE, KEPT_LINKS, MAX_LOOP_DELAY, OTHER_DOMAIN_FACTOR } from './constants.js'
import { packOfferAnswer, unpackMessage } from './detourMessages.js'
import { DETOUR_EVENTS } from './events.js'
import { HostedRequest } from './HostedRequest.js'
import type { Origin } from './HostedRequest.js'
import { isPeerPresent } from './peerPresence.js'
import { OpenHandOver } from './OpenHandOver.js'
import type { RequestResolver } from './RequestResolver.js'
import type { DetourMessage, HandOverId, Offer, OfferAnswer } from './types.js'

export interface DetourRouterOptions {
  readonly clock: Clock
  readonly random: Random
  readonly log: EventLog
  readonly peers: Peers
  readonly reach: Pick<Reach, 'reaches' | 'peersReaching'>
  readonly resolver: Pick<RequestResolver, 'resolve'>
  readonly domain: DomainId
  /** CPU share available to this instance, in cores. */
  readonly capacity: number
  readonly loopDelay: Pick<LoopDelay, 'current'>
  /** False when new requests are to be rejected. */
  readonly isAccepting: () => boolean
  /** Serves a request that a peer handed over. */
  readonly serve: (request: ForwardRequest, sink: CallerSink) => Promise<void>
}

type MessageHandlers = {
  readonly [Kind in DetourMessage['kind']]: (from: Origin, message: Extract<DetourMessage, { readonly kind: Kind }>) => Json
}

/** The last offer of one process; its numbers only rise. */
interface LastOffer {
  readonly incarnation: Incarnation
  readonly number: number
}

/**
 * Hands requests over to peers, and serves those that peers hand over.
 *
 * @example
 * const to = detours.choose(request, service, new Set())
 * if (to !== undefined) await detours.handOver({ request, service, to, runs: 0, isCounted: false, endsAt, relay })
 */
export class DetourRouter implements Detour {
  readonly #options: DetourRouterOptions
  readonly #open = new Map<HandOverId, OpenHandOver>()
  readonly #hosted = new Map<HandOverId, HostedRequest>()
  readonly #lastOffers = new Map<InstanceId, LastOffer>()
  /** Monotonic times from which peers that were busy are offered requests again. */
  readonly #busyUntil = new Map<InstanceId, Millis>()
  #count = 0

  readonly #handlers: MessageHandlers = {
    offer: (from, { id, offer }) => packOfferAnswer(this.#receiveOffer(from, id, offer)),
    part: (from, { id, number, part }) => {
      this.#openOf(from, id)?.receivePart(number, part)
      this.#hostedOf(from, id)?.receivePart(number, part)
      return null
    },
    confirm: (from, { id, count }) => {
      this.#openOf(from, id)?.receiveConfirm(count)
      this.#hostedOf(from, id)?.receiveConfirm(count)
      return null
    },
    cancel: (from, { id }) => {
      this.#hostedOf(from, id)?.cancel()
      return null
    }
  }

  constructor (options: DetourRouterOptions) {
    this.#options = options
    options.peers.handle('detour', (id, packed, incarnation) => this.#receive({ id, incarnation }, packed))
  }

  /** Requests of this instance that peers serve. */
  get handedOver (): number {
    return this.#open.size
  }

  /** Requests of peers that this instance serves. */
  get hosted (): number {
    return this.#hosted.size
  }

  choose (request: ForwardRequest, service: ServiceId, tried: ReadonlySet<InstanceId>): PeerMember | undefined {
    const { random, clock, peers, reach, domain: own } = this.#options
    const now = clock.now()
    const usable = reach.peersReaching(service).filter(({ id, domain }) =>
      id !== peers.self && !tried.has(id) && request.isAllowedIn(domain) && !((this.#busyUntil.get(id) ?? 0) > now))
    const linked = usable.filter(({ id }) => peers.isConnected(id))
    return choosePeer(random, linked.length > 0 ? linked : usable, ({ id, domain, capacity = 1 }) =>
      (this.#outstandingAt(id) + 1) / capacity * (domain === own ? 1 : OTHER_DOMAIN_FACTOR))
  }

  /** Keeps links open to a few peers for each of these services that is not reached, so that no offer waits for a dial. */
  keepLinks (services: Iterable<ServiceId>): void {
    const { peers, reach } = this.#options
    const kept = [...services].filter((service) => !reach.reaches(service)).flatMap((service) =>
      byRendezvous(peers.self, reach.peersReaching(service), ({ id }) => id).slice(0, KEPT_LINKS))
    peers.keepLinks(new Set(kept.map(({ id }) => id)), 'detour')
  }

  async handOver (given: HandOver): Promise<HandOverEnd> {
    const { clock, log, peers } = this.#options
    const { request, service, to, endsAt } = given
    const fields = { request: request.attempt, to: to.id, service, config: request.configVersion }
    const begunAt = clock.now()
    log.emit(DETOUR_EVENTS.requestHandedOver, { ...fields, runs: given.runs, timeLeftMs: millis(endsAt - begunAt) })
    const id = brand<HandOverId>(`${peers.incarnation}/${++this.#count}`)
    const open = new OpenHandOver({ clock, peers, id, given })
    this.#open.set(id, open)
    const end = await open.run()
    this.#open.delete(id)
    if (end.kind === 'not-taken' && end.retryAfter !== undefined) this.#busyUntil.set(to.id, millis(clock.now() + end.retryAfter))
    log.emit(DETOUR_EVENTS.handOverEnded, {
      ...fields,
      outcome: end.kind,
      status: 'status' in end ? end.status : undefined,
      kind: end.kind === 'failed' ? end.failure.kind : undefined,
      detail: 'detail' in end ? end.detail : undefined,
      tookMs: millis(clock.now() - begunAt)
    })
    return end
  }

  #outstandingAt (id: InstanceId): number {
    return [...this.#open.values()].filter(({ to }) => to === id).length
  }

  #receive (from: Origin, packed: Json): Json {
    const message = unpackMessage(packed)
    const handler = message === undefined ? undefined : this.#handlers[message.kind] as MessageHandlers[keyof MessageHandlers] | undefined
    return (handler as ((from: Origin, message: DetourMessage | undefined) => Json) | undefined)?.(from, message) ?? null
  }

  /** The open hand-over if it is to this very process. */
  #openOf ({ id: from, incarnation }: Origin, id: HandOverId): OpenHandOver | undefined {
    const open = this.#open.get(id)
    return open?.to === from && open.incarnation === incarnation ? open : undefined
  }

  #hostedOf ({ id: from, incarnation }: Origin, id: HandOverId): HostedRequest | undefined {
    const hosted = this.#hosted.get(id)
    return hosted?.from.id === from && hosted.from.incarnation === incarnation ? hosted : undefined
  }

  #receiveOffer (from: Origin, id: HandOverId, offer: Offer): OfferAnswer {
    const { clock, log, peers, resolver, serve, loopDelay } = this.#options
    // A copy of an offer that is still open is answered like the first.
    if (this.#hostedOf(from, id) !== undefined) return { isTaken: true }
    const receivedAt = millis(clock.now() - loopDelay.current)
    const fields = { request: offer.attempt, from: from.id, service: offer.service, config: offer.configVersion }
    const isCurrent = offer.to === peers.incarnation && this.#isNew(from, id) && isPeerPresent(peers, from.id, from.incarnation)
    const resolved = isCurrent ? resolver.resolve(offer) : 'the offer came late'
    const declined = typeof resolved === 'string' ? { detail: resolved, retryAfter: undefined } : this.#decline(resolved.route)
    if (typeof resolved === 'string' || declined !== undefined) {
      log.emit(DETOUR_EVENTS.handOverDeclined, { ...fields, detail: declined?.detail, hosted: this.#hosted.size })
      return { isTaken: false, detail: '', retryAfter: undefined, ...declined }
    }
    log.emit(DETOUR_EVENTS.handOverTaken, { ...fields, runs: offer.runs, timeLeftMs: offer.timeLeft })
    const isOpenElsewhere = (failure: Failure): boolean => failure.kind === 'draining' || !this.#reachesAll(resolved.route)
    const hosted = new HostedRequest({ clock, log, peers, id, from, offer, receivedAt, resolved, serve, isOpenElsewhere })
    this.#hosted.set(id, hosted)
    void hosted.run().then(() => this.#hosted.delete(id))
    return { isTaken: true }
  }

  /** Whether the offer is newer than all others of its process: a late copy must not run again. */
  #isNew ({ id: from, incarnation }: Origin, id: HandOverId): boolean {
    const prefix = `${incarnation}/`
    const number = Number(id.slice(prefix.length))
    if (!id.startsWith(prefix) || !Number.isInteger(number)) return false
    const last = this.#lastOffers.get(from)
    if (last?.incarnation === incarnation && number <= last.number) return false
    this.#lastOffers.set(from, { incarnation, number })
    return true
  }

  /** Why a request is not taken; undefined if it is. */
  #decline (route: ServingRoute): Omit<Extract<OfferAnswer, { isTaken: false }>, 'isTaken'> | undefined {
    const { isAccepting, capacity, loopDelay } = this.#options
    if (!isAccepting()) return { detail: 'the instance is stopping', retryAfter: undefined }
    if (!this.#reachesAll(route)) return { detail: 'the peer reaches no endpoint either', retryAfter: undefined }
    const isBusy = this.#hosted.size >= Math.ceil(HAND_OVERS_PER_CORE * capacity) || loopDelay.current > MAX_LOOP_DELAY
    return isBusy ? { detail: 'the peer is busy', retryAfter: BUSY_RETRY_AFTER } : undefined
  }

  #reachesAll ({ targets }: ServingRoute): boolean {
    return targets.every(({ service, weight }) => weight === 0 || this.#options.reach.reaches(service))
  }
}

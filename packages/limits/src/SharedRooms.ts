import { millis } from '@papayahill/common'
import type { Clock, InstanceId, Json, Millis, Random, ServiceId } from '@papayahill/common'
import type { Endpoint, EndpointDirectory } from '@papayahill/directory'
import type { Peers } from '@papayahill/peers'
import { HOLDERS_TTL, PLACE_ASK_TIMEOUT } from './constants.js'
import { divideUnits } from './divideUnits.js'
import { EndpointRoom } from './EndpointRoom.js'
import type { KnownInstances } from './KnownInstances.js'
import { PlaceQueue } from './PlaceQueue.js'
import { decodePlaceLoan, encodePlaceLoan, encodePlaceMessage } from './placeMessages.js'
import type { PlaceLoan, PlaceMessage } from './placeMessages.js'

export interface SharedRoomsOptions {
  readonly clock: Clock
  readonly random: Random
  readonly directory: Pick<EndpointDirectory, 'get'>
  readonly peers: Pick<Peers, 'self' | 'ask' | 'send'>
  readonly known: KnownInstances
  /** Whether one instance at a time calls a service's endpoints for all others. */
  readonly isCoordinated: (service: ServiceId) => boolean
}

/** The division of an endpoint's slots, as of a time. */
interface Division {
  readonly units: ReadonlyMap<InstanceId, number>
  readonly slots: number
  readonly validUntil: Millis
}

const incarnationOf = ({ id, incarnation }: Endpoint): Pick<PlaceMessage, 'endpoint' | 'incarnation'> => ({ endpoint: id, incarnation })

/**
 * This instance's places at all endpoints: its part of the slots of those that are brittle, and places that it borrows from
 * other instances.
 *
 * @example
 * if (rooms.of(endpoint).canSend()) choose(endpoint)
 */
export class SharedRooms {
  readonly #options: SharedRoomsOptions
  /** By incarnation. */
  readonly #rooms = new WeakMap<Endpoint, EndpointRoom>()
  readonly #divisions = new WeakMap<Endpoint, Division>()

  readonly #places: PlaceQueue

  constructor (options: SharedRoomsOptions) {
    this.#options = options
    this.#places = new PlaceQueue(options.clock)
  }

  of (endpoint: Endpoint): EndpointRoom {
    const known = this.#rooms.get(endpoint)
    if (known !== undefined) return known
    const { clock, random, known: instances, peers } = this.#options
    const room = new EndpointRoom({
      clock,
      random,
      endpoint,
      units: () => this.#unitsOf(endpoint, peers.self),
      sharers: () => instances.ids.length,
      lenders: () => this.#lendersOf(endpoint),
      ask: (lender) => this.#ask(lender, endpoint),
      giveBack: ({ lender, id }) => peers.send(lender, 'quota', encodePlaceMessage({ ...incarnationOf(endpoint), returned: id })),
      wakeOne: () => this.#places.wakeOne(endpoint.service)
    })
    this.#rooms.set(endpoint, room)
    return room
  }

  #unitsOf (endpoint: Endpoint, instance: InstanceId): number {
    const { slots, units } = this.#divisionOf(endpoint)
    return this.#options.isCoordinated(endpoint.service) ? slots : units.get(instance) ?? 0
  }

  #lendersOf (endpoint: Endpoint): ReadonlyMap<InstanceId, number> {
    const { isCoordinated, known, peers: { self } } = this.#options
    if (isCoordinated(endpoint.service)) return new Map()
    return new Map([...this.#divisionOf(endpoint).units].filter(([id]) => id !== self && known.isReachable(id)))
  }

  #divisionOf (endpoint: Endpoint): Division {
    const { id, incarnation, record, load } = endpoint
    const { clock, known } = this.#options
    const now = clock.now()
    const slots = Math.max(1, Math.min(record.slots, load?.slots ?? Infinity))
    const last = this.#divisions.get(endpoint)
    if (last !== undefined && last.slots === slots && now < last.validUntil) return last
    const units = divideUnits(`${id} ${incarnation} room`, slots, known.ids)
    const division: Division = { units, slots, validUntil: millis(now + HOLDERS_TTL) }
    this.#divisions.set(endpoint, division)
    return division
  }

  async #ask (lender: InstanceId, endpoint: Endpoint): Promise<PlaceLoan | undefined> {
    const message = encodePlaceMessage({ ...incarnationOf(endpoint), returned: undefined })
    const received = await this.#options.peers.ask(lender, 'quota', message, PLACE_ASK_TIMEOUT)
    return received.isOk ? decodePlaceLoan(received.value) : undefined
  }

  /** Waits until a place at an endpoint of the service may be free, at most for `span`. */
  waitForPlace (service: ServiceId, span: Millis): Promise<void> {
    return this.#places.wait(service, span)
  }

  /** Answers another instance's request for a place, or takes one back. */
  async receive ({ endpoint: id, incarnation, returned }: PlaceMessage): Promise<Json> {
    const endpoint = this.#options.directory.get(id)
    if (endpoint === undefined || endpoint.incarnation !== incarnation) return encodePlaceLoan(undefined)
    const room = this.of(endpoint)
    if (returned === undefined) return encodePlaceLoan(await room.lend())
    room.returned(returned)
    return null
  }
}

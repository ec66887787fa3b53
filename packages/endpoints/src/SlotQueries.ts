import { isJsonObject } from '@papayahill/common'
import type { EndpointId, EndpointIncarnation, Incarnation, InstanceId, Json, JsonObject } from '@papayahill/common'
import { SLOT_QUERY_TIMEOUT } from './constants.js'
import type { SlotAnswer, SlotLedger } from './SlotLedger.js'
import type { SlottedEndpoint } from './slots.js'
import type { PeerChannel, RosterIncarnation } from './types.js'

/** Calls of an instance at one endpoint. */
export interface SlotUsage {
  readonly version: number
  readonly busy: readonly number[]
  /** Calls started in another incarnation of the endpoint that are still running. */
  readonly olderCalls: number
  /** Incarnation of the endpoint known to the instance; undefined if it has no connection. */
  readonly knownIncarnation: EndpointIncarnation | undefined
}

export interface SlotQueriesOptions {
  readonly self: Incarnation
  readonly channel: PeerChannel
  /** Calls of this instance at an endpoint incarnation now. */
  readonly usageOf: (endpoint: SlottedEndpoint) => SlotUsage
}

/** An instance's answer, with its calls of other incarnations of the endpoint. */
interface ReceivedAnswer extends SlotAnswer {
  readonly olderCalls: number
  readonly isSameIncarnation: boolean
}

const parseAnswer = (message: Json | undefined, endpoint: SlottedEndpoint): ReceivedAnswer | undefined => {
  if (message === undefined || !isJsonObject(message)) return undefined
  const { life, version, busy, older, believed } = message
  if (typeof life !== 'string' || typeof version !== 'number' || typeof older !== 'number') return undefined
  if (!Array.isArray(busy)) return undefined
  return {
    incarnation: life as Incarnation,
    version,
    busy: busy.filter((slot): slot is number => typeof slot === 'number'),
    olderCalls: older,
    isSameIncarnation: believed === null || believed === endpoint.incarnation
  }
}

/**
 * Asks other instances on which slots of a cold endpoint they still have calls, and answers their queries.
 *
 * @example
 * const slotQueries = new SlotQueries({ self: self.incarnation, channel, usageOf })
 * slotQueries.queryAll(ledger, () => place(entry))
 */
export class SlotQueries {
  readonly #options: SlotQueriesOptions
  readonly #inFlight = new Set<string>()

  constructor (options: SlotQueriesOptions) {
    this.#options = options
    options.channel.handle((_from: InstanceId, message: Json) => this.#answer(message))
  }

  /** Queries every instance that a ledger waits for; `onAnswer` is called after each answer that may have cleared a slot. */
  queryAll (ledger: SlotLedger, onAnswer: () => void): void {
    for (const instance of ledger.awaitedOwners()) void this.#queryOne(ledger, instance, onAnswer)
  }

  async #queryOne (ledger: SlotLedger, instance: RosterIncarnation, onAnswer: () => void): Promise<void> {
    const key = `${ledger.endpoint.incarnation} ${instance.incarnation}`
    if (this.#inFlight.has(key)) return
    this.#inFlight.add(key)
    const rosterVersion = ledger.version
    const answer = await this.#query(instance, ledger.endpoint)
    this.#inFlight.delete(key)
    if (answer === undefined || answer.olderCalls > 0 || !answer.isSameIncarnation) return
    ledger.receive(answer, rosterVersion)
    onAnswer()
  }

  /** The answer of one instance; undefined if it does not answer in time or has restarted. */
  async #query (instance: RosterIncarnation, endpoint: SlottedEndpoint): Promise<ReceivedAnswer | undefined> {
    const query: JsonObject = { endpoint: endpoint.id, incarnation: endpoint.incarnation }
    const message = await this.#options.channel.ask(instance.id, query, SLOT_QUERY_TIMEOUT)
    const answer = parseAnswer(message, endpoint)
    return answer?.incarnation === instance.incarnation ? answer : undefined
  }

  #answer (message: Json): Json {
    if (!isJsonObject(message)) return null
    const { endpoint, incarnation } = message
    if (typeof endpoint !== 'string' || typeof incarnation !== 'string') return null
    const queried = { id: endpoint as EndpointId, incarnation: incarnation as EndpointIncarnation }
    const { version, busy, olderCalls: older, knownIncarnation: believed } = this.#options.usageOf(queried)
    return { life: this.#options.self, version, busy, older, believed: believed ?? null }
  }
}

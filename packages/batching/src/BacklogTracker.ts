import { hash32, millis } from '@papayahill/common'
import type { Clock, DomainId, EndpointId, Millis } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import { BACKLOG_TTL, CROSS_DOMAIN_MILLIS_PER_BYTE, ENGINE_DOMAIN_PREFERENCE, MISSING_STAGE_PENALTY } from './constants.js'

interface BacklogReport {
  readonly backlog: Millis
  readonly at: Millis
}

/** How long an order for an endpoint waits before it is in the endpoint's queue. */
export type OrderWaitOf = (endpoint: EndpointId) => Millis

const NO_WAIT = millis(0)

/**
 * The latest reported backlog of each stage endpoint, and the wait for its coordinator.
 *
 * @example
 * const backlogs = new BacklogTracker(clock, (endpoint) => waits.of(coordinatorOf(endpoint)))
 * backlogs.backlog(endpoint)
 */
export class BacklogTracker {
  readonly #clock: Clock
  readonly #orderWaitOf: OrderWaitOf
  /** The one that was reported least recently is first. */
  readonly #reports = new Map<EndpointId, BacklogReport>()

  constructor (clock: Clock, orderWaitOf: OrderWaitOf = () => NO_WAIT) {
    this.#clock = clock
    this.#orderWaitOf = orderWaitOf
  }

  /** Number of reports that are kept. */
  get size (): number {
    return this.#reports.size
  }

  record (endpoint: EndpointId, backlog: Millis): void {
    const now = this.#clock.now()
    this.#reports.delete(endpoint)
    this.#reports.set(endpoint, { backlog, at: now })
    for (const [oldest, { at }] of this.#reports) {
      if (now - at <= BACKLOG_TTL) return
      this.#reports.delete(oldest)
    }
  }

  /** Expected wait of a piece that is ordered now: for the endpoint's coordinator, and then in the endpoint's queue. */
  backlog (endpoint: EndpointId): Millis {
    return millis(this.#orderWaitOf(endpoint) + this.#queueWait(endpoint))
  }

  /** Expected wait at the endpoint; 0 where there is no recent report. */
  #queueWait (endpoint: EndpointId): Millis {
    const report = this.#reports.get(endpoint)
    if (report === undefined) return millis(0)
    const age = this.#clock.now() - report.at
    return millis(age > BACKLOG_TTL ? 0 : Math.max(0, report.backlog - age))
  }

  /** Shortest wait at any of the endpoints; Infinity for an empty list. */
  leastBacklog (endpoints: readonly Endpoint[]): Millis {
    return millis(Math.min(Infinity, ...endpoints.map(({ id }) => this.backlog(id))))
  }
}

export interface PlacementQuery {
  readonly endpoints: readonly Endpoint[]
  /** Input bytes that a piece reads from each failure domain. */
  readonly inputBytes: ReadonlyMap<DomainId, number>
  /** Bytes read from a piece's result by all its readers together. */
  readonly outputBytes: number
  /** Domain in which the results will probably be read. */
  readonly preferredDomain: DomainId | undefined
  /** Breaks ties between endpoints of equal cost by rendezvous hashing, so that requests spread over them. */
  readonly request: string
}

/**
 * Delay that stands for the bytes that would cross failure domains if a piece ran in `domain`.
 *
 * @example
 * crossDomainDelay(endpoint.domain, { endpoints, inputBytes, outputBytes, preferredDomain, request })
 */
export const crossDomainDelay = (domain: DomainId, { inputBytes, outputBytes, preferredDomain }: PlacementQuery): Millis => {
  let crossingBytes = preferredDomain === undefined || preferredDomain === domain ? 0 : outputBytes
  for (const [from, size] of inputBytes) if (from !== domain) crossingBytes += size
  return millis(crossingBytes * CROSS_DOMAIN_MILLIS_PER_BYTE)
}

/**
 * Chooses the endpoint with the lowest cost for a request's pieces: known wait plus the delay for bytes that cross failure domains.
 *
 * @example
 * chooseEndpoint(backlogs, { endpoints, inputBytes, outputBytes, preferredDomain, request })
 */
export const chooseEndpoint = (backlogs: BacklogTracker, query: PlacementQuery): Endpoint | undefined => {
  let best: Endpoint | undefined
  let bestCost = Infinity
  let bestRank = 0
  for (const endpoint of query.endpoints) {
    const cost = backlogs.backlog(endpoint.id) + crossDomainDelay(endpoint.domain, query)
    if (cost > bestCost) continue
    const rank = hash32(`${query.request} ${endpoint.id}`)
    if (cost < bestCost || rank > bestRank) [best, bestCost, bestRank] = [endpoint, cost, rank]
  }
  return best
}

/**
 * Chooses the failure domain in which a chain of stages waits least, with a preference for the engine's own domain.
 *
 * @example
 * choosePreferredDomain(backlogs, [storefronts, dispatchers], engineDomain, 1_500_000)
 */
export const choosePreferredDomain = (
  backlogs: BacklogTracker, stages: ReadonlyArray<readonly Endpoint[]>, engineDomain: DomainId | undefined, lastBytes: number
): DomainId | undefined => {
  const domains = new Set(stages.flatMap((endpoints) => endpoints.map(({ domain }) => domain)))
  let best = engineDomain
  let bestCost = Infinity
  for (const domain of domains) {
    const waits = stages.map((endpoints) => backlogs.leastBacklog(endpoints.filter((endpoint) => endpoint.domain === domain)))
    const missingStages = waits.filter((wait) => wait === Infinity).length
    const knownWait = waits.reduce((sum, wait) => sum + (wait === Infinity ? 0 : wait), 0)
    const distanceCost = domain === engineDomain ? 0 : ENGINE_DOMAIN_PREFERENCE + lastBytes * CROSS_DOMAIN_MILLIS_PER_BYTE
    const cost = knownWait + distanceCost + missingStages * MISSING_STAGE_PENALTY
    if (cost < bestCost) [best, bestCost] = [domain, cost]
  }
  return best
}

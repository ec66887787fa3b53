import { bytesByDomain } from '@papayahill/batching'
import type { StageResult } from '@papayahill/batching'
import type { EndpointId, Millis, ServiceId } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import { timeUntilAvailable } from '@papayahill/limits'
import { chooseLeastLoaded } from './chooseLeastLoaded.js'
import { chooseSoonest } from './chooseSoonest.js'
import { PLACEMENT_RETRY_PERIOD } from './constants.js'
import type { ForwardContext } from './ForwardContext.js'
import { isCutOff } from './isCutOff.js'
import { logLimited } from './logLimited.js'
import type { CallCheck } from './CallQuarantine.js'
import type { ForwardRequest, PlacementCriteria } from './types.js'

/** Placement constraints of one call of a request. */
export interface CallPlacement {
  /** Endpoints that were already tried. */
  readonly exclude: ReadonlySet<EndpointId>
  /** Stage results that the endpoint reads first. */
  readonly inputs: readonly StageResult[]
  /** Whether excluded endpoints may be tried again if no other is left. */
  readonly canReuseExcluded: boolean
}

const NO_EXCLUSIONS: ReadonlySet<EndpointId> = new Set()

/**
 * Chooses the endpoints of one request's calls.
 *
 * @example
 * const endpoint = await placement.place(call, until)
 */
export class RequestPlacement {
  readonly #context: ForwardContext
  readonly #request: ForwardRequest
  readonly #service: ServiceId
  readonly #check: CallCheck
  #wasLimited = false

  constructor (context: ForwardContext, request: ForwardRequest, service: ServiceId, check: CallCheck) {
    this.#context = context
    this.#request = request
    this.#service = service
    this.#check = check
  }

  /** Whether an endpoint could not be chosen because of its limit. */
  get wasLimited (): boolean {
    return this.#wasLimited
  }

  /** Waits until the given time for an endpoint that can accept the call; undefined at once if none becomes available by then. */
  async place (call: CallPlacement, until: Millis): Promise<Endpoint | undefined> {
    const { clock, directory, limits } = this.#context
    for (;;) {
      const endpoint = this.choose(call)
      if (endpoint !== undefined) return endpoint
      const availableAt = clock.now() + timeUntilAvailable(limits, directory.usable(this.#service), clock.now())
      if (availableAt >= until || this.#request.signal.aborted || isCutOff(this.#context, this.#request, this.#service)) return undefined
      this.#requestToken(clock.now())
      await limits.waitForPlace(this.#service, PLACEMENT_RETRY_PERIOD)
    }
  }

  /** The best endpoint for the call now. */
  choose ({ exclude, inputs, canReuseExcluded }: CallPlacement): Endpoint | undefined {
    const { clock, directory, domain, limits, versions } = this.#context
    const { route, prompt } = this.#request
    const now = clock.now()
    const endpoints = versions.selectCandidates(this.#service, route, this.#available(now))
    const criteria: PlacementCriteria = { endpoints, exclude, prompt, domain, inputBytes: bytesByDomain(directory, inputs), now }
    const suspectEndpoint = this.#check.suspectEndpoint(endpoints.filter(({ id }) => !exclude.has(id)))
    if (suspectEndpoint !== undefined) return suspectEndpoint
    const unconfirmed = endpoints.filter((endpoint) => limits.isUnconfirmed(endpoint))
    const first = this.#best({ ...criteria, endpoints: unconfirmed }) ?? this.#best(criteria)
    return first ?? (canReuseExcluded ? this.#best({ ...criteria, exclude: NO_EXCLUSIONS }) : undefined)
  }

  /** Endpoints that are allowed to process the request and can accept one more now. */
  #available (now: Millis): readonly Endpoint[] {
    const accepting = this.#accepting(now)
    const available = accepting.filter((endpoint) => this.#context.limits.canSend(endpoint))
    if (available.length < accepting.length) this.#noteLimited(accepting.find((endpoint) => !available.includes(endpoint))!)
    return available
  }

  #noteLimited (endpoint: Endpoint): void {
    if (!this.#wasLimited) logLimited(this.#context, this.#request, endpoint)
    this.#wasLimited = true
  }

  /** The same, with those whose limit of requests leaves no token to this instance. */
  #accepting (now: Millis): readonly Endpoint[] {
    const { directory, coldStarts, reach } = this.#context
    return directory.healthy(this.#service)
      .filter((endpoint) => reach.reachesEndpoint(endpoint))
      .filter((endpoint) => this.#request.isAllowedIn(endpoint.domain) && endpoint.canAccept(now) && coldStarts.canAccept(endpoint))
      .filter((endpoint) => this.#check.quarantineAt(endpoint) === undefined)
  }

  /** Asks for a token of one of the limited endpoints; only one, since a token that is not used is lost. */
  #requestToken (now: Millis): void {
    const { limits, random } = this.#context
    const limited = this.#accepting(now).filter((endpoint) => limits.availableIn(endpoint) === 0)
    if (limited.length > 0) limits.request(limited[random.below(limited.length)]!)
  }

  #best (criteria: PlacementCriteria): Endpoint | undefined {
    const { engines, random, performance, profileOf } = this.#context
    if (profileOf(this.#service)?.engine !== undefined) return engines.choose(criteria)
    const isLearnt = performance.isActive(criteria.endpoints)
    return isLearnt ? chooseSoonest(random, performance, criteria) : chooseLeastLoaded(random, criteria)
  }
}

import { millis } from '@papayahill/common'
import type { Clock, DomainId, EndpointId, Millis } from '@papayahill/common'
import type { BatchProfile, Endpoint } from '@papayahill/directory'
import { BACKLOG_LIFE, CROSS_DOMAIN_MILLIS_PER_BYTE } from './constants.js'

interface BacklogWord {
  readonly backlog: Millis
  readonly at: Millis
}

/** What was last heard of the waits at stage endpoints. */
export class BacklogBoard {
  readonly #clock: Clock
  readonly #words = new Map<EndpointId, BacklogWord>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  note (endpoint: EndpointId, backlog: Millis): void {
    this.#words.set(endpoint, { backlog, at: this.#clock.now() })
  }

  /** Time until a piece that came now would be made, as far as is known. */
  backlog (endpoint: EndpointId): Millis {
    const word = this.#words.get(endpoint)
    if (word === undefined) return millis(0)
    const age = this.#clock.now() - word.at
    return millis(age > BACKLOG_LIFE ? 0 : Math.max(0, word.backlog - age))
  }

  /** Least wait at any of the endpoints. */
  leastBacklog (endpoints: readonly Endpoint[]): Millis {
    return millis(Math.min(Infinity, ...endpoints.map(({ id }) => this.backlog(id))))
  }
}

export interface PlaceWant {
  readonly endpoints: readonly Endpoint[]
  readonly pieces: number
  readonly resultBytes: number
  /** Domain where the results will be read. */
  readonly domain: DomainId | undefined
  readonly exclude: ReadonlySet<EndpointId>
}

/**
 * The endpoint for a request's pieces: the shortest wait, with the cost of results that cross domains weighed in.
 *
 * @example
 * choosePlace(board, profile, { endpoints, pieces: 3, resultBytes, domain, exclude })
 */
export const choosePlace = (board: BacklogBoard, profile: BatchProfile, want: PlaceWant): Endpoint | undefined => {
  const tried = want.endpoints.filter(({ id }) => !want.exclude.has(id))
  const candidates = tried.length > 0 ? tried : want.endpoints
  const crossing = want.pieces * want.resultBytes * CROSS_DOMAIN_MILLIS_PER_BYTE
  const costOf = (endpoint: Endpoint): number => {
    const isNear = want.domain === undefined || endpoint.domain === want.domain
    return board.backlog(endpoint.id) + (isNear ? 0 : crossing + profile.pieceTime / 100)
  }
  let best: Endpoint | undefined
  let bestCost = Infinity
  for (const endpoint of candidates) {
    const cost = costOf(endpoint)
    if (cost < bestCost) [best, bestCost] = [endpoint, cost]
  }
  return best
}

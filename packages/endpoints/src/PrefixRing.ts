import { hash32 } from '@papayahill/common'
import type { EndpointId } from '@papayahill/common'

/** Points of each endpoint on the ring; more points distribute prefixes more evenly. */
const POINTS_PER_ENDPOINT = 16

interface Point {
  readonly at: number
  readonly id: EndpointId
}

/**
 * Consistent hashing of prefixes to endpoints: every instance that knows the same endpoints maps a prefix to the same
 * few, in logarithmic time. Adding or removing an endpoint remaps only its own share of the prefixes.
 *
 * @example
 * const ring = new PrefixRing()
 * ring.add(endpoint)
 * ring.preferredFor(prefix, 2)
 */
export class PrefixRing {
  #points: readonly Point[] = []
  readonly #ids = new Set<EndpointId>()

  add (id: EndpointId): void {
    if (this.#ids.has(id)) return
    this.#ids.add(id)
    const points = Array.from({ length: POINTS_PER_ENDPOINT }, (_, index) => ({ at: hash32(`${id} ${index}`), id }))
    this.#points = [...this.#points, ...points].sort((left, right) => left.at - right.at)
  }

  delete (id: EndpointId): void {
    if (!this.#ids.delete(id)) return
    this.#points = this.#points.filter((point) => point.id !== id)
  }

  /** Up to `count` different endpoints, most preferred first. */
  preferredFor (prefix: string, count: number): readonly EndpointId[] {
    const targetCount = Math.min(count, this.#ids.size)
    const preferred = new Set<EndpointId>()
    const first = this.#indexOfFirstFrom(hash32(prefix))
    for (let step = 0; preferred.size < targetCount; step++) preferred.add(this.#points[(first + step) % this.#points.length]!.id)
    return [...preferred]
  }

  /** Index of the first point at or after `at`. */
  #indexOfFirstFrom (at: number): number {
    let low = 0
    let high = this.#points.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (this.#points[middle]!.at < at) low = middle + 1
      else high = middle
    }
    return low
  }
}

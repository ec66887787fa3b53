import { hash32 } from '@papayahill/common'
import type { EndpointId } from '@papayahill/common'

/** Points of each endpoint on the ring; more points spread prefixes more evenly. */
const POINTS_EACH = 16

interface Point {
  readonly at: number
  readonly id: EndpointId
}

/**
 * Gives each prefix the same few homes at every instance that knows the same endpoints, found in a number
 * of steps that grows with the logarithm of the endpoints. An endpoint that comes or goes moves only its own share.
 *
 * @example
 * const ring = new PrefixRing()
 * ring.add(endpoint)
 * ring.homes(prefix, 2)
 */
export class PrefixRing {
  #points: readonly Point[] = []
  readonly #ids = new Set<EndpointId>()

  add (id: EndpointId): void {
    if (this.#ids.has(id)) return
    this.#ids.add(id)
    const points = Array.from({ length: POINTS_EACH }, (_, index) => ({ at: hash32(`${id} ${index}`), id }))
    this.#points = [...this.#points, ...points].sort((left, right) => left.at - right.at)
  }

  delete (id: EndpointId): void {
    if (!this.#ids.delete(id)) return
    this.#points = this.#points.filter((point) => point.id !== id)
  }

  /** Up to `count` different endpoints, the first home first. */
  homes (prefix: string, count: number): readonly EndpointId[] {
    const wanted = Math.min(count, this.#ids.size)
    const homes = new Set<EndpointId>()
    const first = this.#firstFrom(hash32(prefix))
    for (let step = 0; homes.size < wanted; step++) homes.add(this.#points[(first + step) % this.#points.length]!.id)
    return [...homes]
  }

  /** Place of the first point at or after `at`. */
  #firstFrom (at: number): number {
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

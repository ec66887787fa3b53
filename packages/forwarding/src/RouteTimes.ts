import { millis } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import { DEFAULT_ROUTE_TIME, ROUTE_TIME_WEIGHT } from './constants.js'

/** Moving mean of a time of each route's calls, such as that to the first event. */
export class RouteTimes {
  readonly #means = new Map<string, number>()

  record (route: string, took: Millis): void {
    const mean = this.#means.get(route) ?? took
    this.#means.set(route, mean + ROUTE_TIME_WEIGHT * (took - mean))
  }

  mean (route: string): Millis {
    return millis(this.#means.get(route) ?? DEFAULT_ROUTE_TIME)
  }
}

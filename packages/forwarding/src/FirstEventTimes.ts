import { millis } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import { FIRST_EVENT_GUESS, FIRST_EVENT_WEIGHT } from './constants.js'

/** Mean time from sending a call to its first event, for each route. */
export class FirstEventTimes {
  readonly #means = new Map<string, number>()

  note (route: string, took: Millis): void {
    const mean = this.#means.get(route) ?? took
    this.#means.set(route, mean + FIRST_EVENT_WEIGHT * (took - mean))
  }

  mean (route: string): Millis {
    return millis(this.#means.get(route) ?? FIRST_EVENT_GUESS)
  }
}

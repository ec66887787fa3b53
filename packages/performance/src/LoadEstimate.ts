import type { Endpoint, ReportedLoad } from '@papayahill/directory'
import type { Millis } from '@papayahill/common'
import { LOAD_HALF_LIFE, LOAD_TIME_CONSTANT } from './constants.js'

/** Calls in progress at an endpoint: this instance's own as counted, the others' as last reported, fading to their mean. */
export class LoadEstimate {
  #meanOthers = 0
  #seen: ReportedLoad | undefined

  /** Takes in the endpoint's newest report, if it is new. */
  update ({ load }: Endpoint): void {
    if (load === undefined || load === this.#seen) return
    const span = this.#seen === undefined ? Infinity : load.at - this.#seen.at
    this.#meanOthers += (1 - Math.exp(-span / LOAD_TIME_CONSTANT)) * (othersOf(load) - this.#meanOthers)
    this.#seen = load
  }

  /** Weight of the newest report, 1 if it has just come. */
  certainty (now: Millis): number {
    return this.#seen === undefined ? 0 : 0.5 ** ((now - this.#seen.at) / LOAD_HALF_LIFE)
  }

  /** Estimated calls at the endpoint, running or waiting. */
  at ({ running }: Endpoint, now: Millis): number {
    if (this.#seen === undefined) return running
    const weight = this.certainty(now)
    return running + this.#meanOthers + weight * (othersOf(this.#seen) - this.#meanOthers)
  }
}

const othersOf = ({ running, waiting, own }: ReportedLoad): number => Math.max(0, running + waiting - (own ?? 0))

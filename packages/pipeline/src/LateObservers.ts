import { millis } from '@papayahill/common'
import type { Clock, RequestRecord, ServingObserver, StageRecord } from '@papayahill/common'

/**
 * Tells observers of finished stages and requests a moment later, in order, so that the caller's answer
 * leaves first.
 *
 * @example
 * const late = new LateObservers(clock, [cost, metrics])
 * late.stageEnded(record)
 */
export class LateObservers implements ServingObserver {
  readonly #clock: Clock
  readonly #observers: readonly ServingObserver[]
  #waiting: Array<(observer: ServingObserver) => void> = []

  constructor (clock: Clock, observers: readonly ServingObserver[]) {
    this.#clock = clock
    this.#observers = observers
  }

  stageEnded (record: StageRecord): void {
    this.#later((observer) => observer.stageEnded(record))
  }

  requestEnded (record: RequestRecord, stages: readonly StageRecord[]): void {
    this.#later((observer) => observer.requestEnded(record, stages))
  }

  #later (tell: (observer: ServingObserver) => void): void {
    this.#waiting.push(tell)
    if (this.#waiting.length === 1) this.#clock.after(millis(0), () => this.#tellAll())
  }

  #tellAll (): void {
    const waiting = this.#waiting
    this.#waiting = []
    for (const tell of waiting) for (const observer of this.#observers) tell(observer)
  }
}

import { millis } from '@papayahill/common'
import type { Clock, RequestRecord, ServingObserver, StageRecord } from '@papayahill/common'

/**
 * Notifies observers of finished stages and requests from a timer, in order, so that the caller's answer
 * is sent first.
 *
 * @example
 * const observers = new DeferredObservers(clock, [cost, metrics])
 * observers.stageEnded(record)
 */
export class DeferredObservers implements ServingObserver {
  readonly #clock: Clock
  readonly #observers: readonly ServingObserver[]
  #pending: Array<(observer: ServingObserver) => void> = []

  constructor (clock: Clock, observers: readonly ServingObserver[]) {
    this.#clock = clock
    this.#observers = observers
  }

  stageEnded (record: StageRecord): void {
    this.#defer((observer) => observer.stageEnded(record))
  }

  requestEnded (record: RequestRecord, stages: readonly StageRecord[]): void {
    this.#defer((observer) => observer.requestEnded(record, stages))
  }

  #defer (notify: (observer: ServingObserver) => void): void {
    this.#pending.push(notify)
    if (this.#pending.length === 1) this.#clock.after(millis(0), () => this.#notifyAll())
  }

  #notifyAll (): void {
    const pending = this.#pending
    this.#pending = []
    for (const notify of pending) for (const observer of this.#observers) notify(observer)
  }
}

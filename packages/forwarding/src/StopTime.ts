import { millis } from '@papayahill/common'
import type { Millis } from '@papayahill/common'

/**
 * The time by which this instance answers its last request; infinite until a planned stop has begun.
 *
 * @example
 * stopTime.begin(millis(clock.now() + 7000))
 * stopTime.endsAt > clock.now() + answerTime // whether there is time for another call
 */
export class StopTime {
  #endsAt: Millis = millis(Infinity)

  get isStopping (): boolean {
    return this.#endsAt !== Infinity
  }

  /** Monotonic time. */
  get endsAt (): Millis {
    return this.#endsAt
  }

  begin (endsAt: Millis): void {
    this.#endsAt = endsAt
  }
}

import type { Clock, Millis, ServiceId } from '@papayahill/common'

/** One request that waits for a place. */
interface Waiter {
  readonly wake: () => void
}

/**
 * Requests that wait for a place at an endpoint of their service, in order of arrival. One is woken for each place that
 * becomes free, so that they do not all choose the same one.
 *
 * @example
 * await queue.wait(service, millis(40))
 * queue.wakeOne(service)
 */
export class PlaceQueue {
  readonly #clock: Clock
  readonly #waiters = new Map<ServiceId, Set<Waiter>>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Resolves when it is this request's turn, at the latest after `span`. */
  async wait (service: ServiceId, span: Millis): Promise<void> {
    const waiters = this.#waiters.get(service) ?? new Set()
    this.#waiters.set(service, waiters)
    await new Promise<void>((resolve) => {
      const timer = this.#clock.after(span, () => waiter.wake())
      const waiter: Waiter = {
        wake: () => {
          timer.cancel()
          waiters.delete(waiter)
          resolve()
        }
      }
      waiters.add(waiter)
    })
  }

  /** Wakes the first one; returns whether there was one. */
  wakeOne (service: ServiceId): boolean {
    const [first] = this.#waiters.get(service) ?? []
    first?.wake()
    return first !== undefined
  }
}

import type { Clock, Timer } from './Clock.js'
import { epochMillis, millis } from './units.js'
import type { EpochMillis, Millis } from './units.js'

interface Entry {
  readonly due: number
  readonly order: number
  readonly callback: () => void
  cancelled: boolean
}

const comesBefore = (left: Entry, right: Entry): boolean =>
  left.due < right.due || (left.due === right.due && left.order < right.order)

/** Lets all settled promises run their continuations before time advances. */
const flushPromises = (): Promise<void> => new Promise((resolve) => { setImmediate(resolve) })

/**
 * A clock that advances only on request. Timers fire in order of time, then of creation, and all settled promises run
 * between two timers, so that a run is reproducible.
 *
 * @example
 * const clock = new VirtualClock()
 * clock.after(millis(50), () => { fired = true })
 * await clock.advance(millis(50))
 */
export class VirtualClock implements Clock {
  #now = 0
  #order = 0
  readonly #heap: Entry[] = []
  readonly #wallStart: number

  constructor (wallStart: EpochMillis = epochMillis(Date.UTC(2027, 0, 4))) {
    this.#wallStart = wallStart
  }

  now (): Millis {
    return millis(this.#now)
  }

  wall (): EpochMillis {
    return epochMillis(this.#wallStart + this.#now)
  }

  after (delay: Millis, callback: () => void): Timer {
    const entry: Entry = { due: this.#now + Math.max(0, delay), order: this.#order++, callback, cancelled: false }
    this.#push(entry)
    return { cancel: () => { entry.cancelled = true } }
  }

  every (period: Millis, callback: () => void): Timer {
    let timer: Timer
    let cancelled = false
    const fireAndReschedule = (): void => {
      if (cancelled) return
      timer = this.after(period, fireAndReschedule)
      callback()
    }
    timer = this.after(period, fireAndReschedule)
    return {
      cancel: () => {
        cancelled = true
        timer.cancel()
      }
    }
  }

  sleep (delay: Millis): Promise<void> {
    return new Promise((resolve) => { this.after(delay, resolve) })
  }

  /** Advances the time by `span`, firing the timers that are due. */
  async advance (span: Millis): Promise<void> {
    const end = this.#now + span
    await flushPromises()
    for (let next = this.#heap[0]; next !== undefined && next.due <= end; next = this.#heap[0]) {
      this.#pop()
      if (next.cancelled) continue
      this.#now = next.due
      next.callback()
      await flushPromises()
    }
    this.#now = end
  }

  /** Advances the time until `isDone` holds or `limit` has passed; returns false in the latter case. */
  async advanceUntil (isDone: () => boolean, limit: Millis): Promise<boolean> {
    const end = this.#now + limit
    await flushPromises()
    while (!isDone()) {
      const next = this.#heap[0]
      if (next === undefined || next.due > end) return false
      this.#pop()
      if (next.cancelled) continue
      this.#now = next.due
      next.callback()
      await flushPromises()
    }
    return true
  }

  #push (entry: Entry): void {
    const heap = this.#heap
    let at = heap.push(entry) - 1
    while (at > 0) {
      const parent = (at - 1) >> 1
      if (!comesBefore(entry, heap[parent]!)) break
      heap[at] = heap[parent]!
      at = parent
    }
    heap[at] = entry
  }

  #pop (): void {
    const heap = this.#heap
    const last = heap.pop()
    if (last === undefined || heap.length === 0) return
    let at = 0
    for (;;) {
      const left = 2 * at + 1
      if (left >= heap.length) break
      const right = left + 1
      const child = right < heap.length && comesBefore(heap[right]!, heap[left]!) ? right : left
      if (!comesBefore(heap[child]!, last)) break
      heap[at] = heap[child]!
      at = child
    }
    heap[at] = last
  }
}

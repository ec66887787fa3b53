import type { Clock, Timer } from './Clock.js'
import { epochMillis, millis } from './units.js'
import type { EpochMillis, Millis } from './units.js'

/** Longest delay of the system's timers, about 25 days. They take a longer one for 1 ms. */
const MAX_DELAY = millis(2 ** 31 - 1)

const bounded = (delay: Millis): Millis => millis(Math.min(delay, MAX_DELAY))

/**
 * The system clock. Its timers do not keep the process alive; `sleep` does.
 * Delays beyond 25 days end then.
 *
 * @example
 * const clock = new SystemClock()
 * await clock.sleep(millis(10))
 */
export class SystemClock implements Clock {
  now (): Millis {
    return millis(performance.now())
  }

  wall (): EpochMillis {
    return epochMillis(Date.now())
  }

  after (delay: Millis, callback: () => void): Timer {
    const handle = setTimeout(callback, bounded(delay))
    handle.unref()
    return { cancel: () => clearTimeout(handle) }
  }

  every (period: Millis, callback: () => void): Timer {
    const handle = setInterval(callback, bounded(period))
    handle.unref()
    return { cancel: () => clearInterval(handle) }
  }

  sleep (delay: Millis): Promise<void> {
    return new Promise((resolve) => { setTimeout(resolve, bounded(delay)) })
  }
}

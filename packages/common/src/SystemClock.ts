import type { Clock, Timer } from './Clock.js'
import { epochMillis, millis } from './units.js'
import type { EpochMillis, Millis } from './units.js'

/**
 * The clock of the machine. Its timers do not keep the process alive.
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

  after (delay: Millis, fire: () => void): Timer {
    const handle = setTimeout(fire, delay)
    handle.unref()
    return { cancel: () => clearTimeout(handle) }
  }

  every (period: Millis, fire: () => void): Timer {
    const handle = setInterval(fire, period)
    handle.unref()
    return { cancel: () => clearInterval(handle) }
  }

  sleep (delay: Millis): Promise<void> {
    return new Promise((resolve) => { setTimeout(resolve, delay) })
  }
}

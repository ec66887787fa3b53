import type { ArrivalReader } from './ArrivalReader.js'
import type { Clock, Timer } from './Clock.js'
import type { Millis } from './units.js'

/**
 * Calls back after a time, once what had arrived by then is read: it may be what the timer waits for, and the timer may have
 * been cancelled by it. After a late turn of the event loop, timers run before input is read.
 *
 * @example
 * const timer = afterArrivals(clock, arrivals, millis(1500), () => giveUp())
 * onData(() => timer.cancel())
 */
export const afterArrivals = (clock: Clock, arrivals: Pick<ArrivalReader, 'catchUp'>, span: Millis, callback: () => void): Timer => {
  let isCancelled = false
  const timer = clock.after(span, () => {
    void arrivals.catchUp().then(() => { if (!isCancelled) callback() })
  })
  const cancel = (): void => {
    isCancelled = true
    timer.cancel()
  }
  return { cancel }
}

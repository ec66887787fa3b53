import type { Clock, Millis } from '@papayahill/common'

/** Resolves to true after `wait`, or to false as soon as the signal is aborted. */
export const waitUnlessAborted = (clock: Clock, wait: Millis, signal: AbortSignal): Promise<boolean> => {
  if (signal.aborted) return Promise.resolve(false)
  return new Promise((resolve) => {
    const stop = (): void => {
      timer.cancel()
      resolve(false)
    }
    const timer = clock.after(wait, () => {
      signal.removeEventListener('abort', stop)
      resolve(true)
    })
    signal.addEventListener('abort', stop, { once: true })
  })
}

import type { Clock } from './Clock.js'
import { millis } from './units.js'
import type { Millis } from './units.js'

const FIRST_RETRY_DELAY = millis(50)
const MAX_RETRY_DELAY = millis(500)
const RETRY_DELAY_GROWTH = 2

/** Errors of an address that can never be bound; all others, such as a port in use, may pass. */
const FINAL_CODES: ReadonlySet<string | undefined> = new Set(['EACCES', 'EAFNOSUPPORT', 'EINVAL', 'ENOTFOUND', 'ERR_SOCKET_BAD_PORT'])

export interface OpenListenerOptions<Opened> {
  readonly clock: Clock
  /** Tries to open the listener once. */
  readonly open: () => Promise<Opened>
  /** Called once for each cause in a row, not for each try. */
  readonly onBlocked: (err: NodeJS.ErrnoException) => void
  /** Whether the listener is no longer wanted. */
  readonly isClosed: () => boolean
}

/**
 * Opens a listener as soon as its address can be bound; undefined if it is no longer wanted before that. Rejects if the address can
 * never be bound.
 *
 * @example
 * await openListener({ clock, open: () => bindServer(server, address, report), onBlocked: (err) => report(err), isClosed: () => false })
 */
export const openListener = async <Opened>(
  { clock, open, onBlocked, isClosed }: OpenListenerOptions<Opened>
): Promise<Opened | undefined> => {
  let lastCode: string | undefined
  let delay: Millis = FIRST_RETRY_DELAY
  while (!isClosed()) {
    try {
      return await open()
    } catch (err) {
      const { code } = err as NodeJS.ErrnoException
      if (code === undefined || FINAL_CODES.has(code)) throw err
      if (code !== lastCode) onBlocked(err as NodeJS.ErrnoException)
      lastCode = code
    }
    await clock.sleep(delay)
    delay = millis(Math.min(MAX_RETRY_DELAY, delay * RETRY_DELAY_GROWTH))
  }
  return undefined
}

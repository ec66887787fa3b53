import type { LoopDelay } from './LoopDelay.js'
import { millis } from './units.js'

/** Event loop delay up to which no catching up is needed. */
const MAX_PROMPT_DELAY = millis(100)

/**
 * Resolves after the event loop has polled for I/O once more: all that has arrived so far is read then.
 *
 * @example
 * await nextPoll()
 * server.closeIdleConnections() // none of them has an unread request
 */
export const nextPoll = async (): Promise<void> => {
  // The first check phase follows the current poll phase, the second one the next poll phase.
  await new Promise(setImmediate)
  await new Promise(setImmediate)
}

/**
 * After the event loop was blocked, lets pending input be read before earlier input is acted on: the close of a
 * connection may still be unread when its request is processed.
 *
 * @example
 * await reader.catchUp()
 * if (signal.aborted) return
 */
export class ArrivalReader {
  readonly #delay: Pick<LoopDelay, 'current'>

  constructor (delay: Pick<LoopDelay, 'current'>) {
    this.#delay = delay
  }

  /** Whether the event loop reads and calls back about when it should. */
  get isPrompt (): boolean {
    return this.#delay.current <= MAX_PROMPT_DELAY
  }

  /** Resolves once all input that has arrived so far has been read; at once if the event loop was not blocked. */
  async catchUp (): Promise<void> {
    if (!this.isPrompt) await nextPoll()
  }
}

import type { LoopDelay } from './LoopDelay.js'
import { millis } from './units.js'

/** Loop delay up to which a process counts as on time. */
const PROMPT_DELAY = millis(100)

/** Resolves after the event loop has polled for I/O once more. */
const nextPoll = async (): Promise<void> => {
  // The first check phase follows the poll that is under way, the second one the next poll.
  await new Promise(setImmediate)
  await new Promise(setImmediate)
}

/**
 * Lets a late process read what has arrived before it acts on what it read earlier: a connection's close may wait
 * unread behind the request that came over it.
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

  /** Resolves once all that has arrived by now was read; at once while the process is on time. */
  async catchUp (): Promise<void> {
    if (this.#delay.current > PROMPT_DELAY) await nextPoll()
  }
}

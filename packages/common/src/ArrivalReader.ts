import type { LoopDelay } from './LoopDelay.js'
import { millis } from './units.js'

/** Delay of the loop up to which what it does is soon enough after what it has read. */
const PROMPT_DELAY = millis(100)

/** Resolves after the next look for what has arrived. */
const nextPoll = async (): Promise<void> => {
  // The first check phase follows the poll that is under way, the second one the next poll.
  await new Promise(setImmediate)
  await new Promise(setImmediate)
}

/**
 * Lets a process that is late read what has already arrived, before it acts on what it has read: a connection's close
 * may wait behind the request that came over it.
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

  /** Resolves once what had arrived was read; at once while the process is on time. */
  async catchUp (): Promise<void> {
    if (this.#delay.current > PROMPT_DELAY) await nextPoll()
  }
}

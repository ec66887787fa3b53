import type { Clock, Incarnation, Millis } from '@papayahill/common'
import type { ReportBody, ReportSource } from '@papayahill/reports'
import { RECEIVER_TTL } from './constants.js'
import type { UsageCounter } from './UsageCounter.js'
import { encodeSection } from './usageMessages.js'

/** What one receiver has confirmed. */
interface ReceiverState {
  session: number
  version: number
  current: number
  lastUsed: Millis
}

/** Section of the reports with this instance's counts. A body has all that changed since the receiver last confirmed one. */
export class UsageSource implements ReportSource {
  readonly name = 'usage'
  readonly #clock: Clock
  readonly #counter: UsageCounter
  #isLast = false
  readonly #receivers = new Map<Incarnation, ReceiverState>()

  constructor (clock: Clock, counter: UsageCounter) {
    this.#clock = clock
    this.#counter = counter
  }

  /** The next sections tell that nothing more is counted. */
  finish (): void {
    this.#isLast = true
  }

  next (receiver: Incarnation): ReportBody | undefined {
    const { session, current, since } = this.#counter
    const state = this.#stateOf(receiver)
    const isKnown = state.session === session
    const confirmed = isKnown ? state.version : 0
    const windows = this.#counter.changesSince(confirmed)
    const isLast = this.#isLast
    if (windows.length === 0 && isKnown && state.current === current && !isLast) return undefined
    const version = this.#counter.takeVersion()
    const { first: firstName, names } = this.#counter.namesSince(confirmed)
    return {
      body: encodeSection({ session, current, since, firstName, names, windows, isLast }),
      confirm: () => { if (state.session !== session || state.version < version) Object.assign(state, { session, version, current }) },
      reject: () => { this.#receivers.delete(receiver) }
    }
  }

  #stateOf (receiver: Incarnation): ReceiverState {
    const now = this.#clock.now()
    for (const [known, { lastUsed }] of this.#receivers) if (now - lastUsed > RECEIVER_TTL) this.#receivers.delete(known)
    const state = this.#receivers.get(receiver) ?? { session: -1, version: 0, current: -1, lastUsed: now }
    state.lastUsed = now
    this.#receivers.set(receiver, state)
    return state
  }
}

import { millis } from '@papayahill/common'
import type { Clock, InstanceId, Millis } from '@papayahill/common'
import type { FencingToken } from '../types.js'

/** A call that reached the platform. */
export interface DutyAct {
  readonly at: Millis
  /** The machine that sent it, which keeps its number over restarts. */
  readonly machine: number
  readonly holder: InstanceId
  readonly token: FencingToken
}

/** How often a rule was broken. */
export interface DutyViolations {
  /** Tokens that two machines have sent. */
  readonly sharedTokens: number
  /** Calls with a lower token than one before. */
  readonly tokensBack: number
  /** Calls that made the order A, B, A within the window. */
  readonly interleaved: number
}

/** Receives the calls of all holders without checking their tokens, and records which rules they break. */
export class DutyPlatform {
  readonly acts: DutyAct[] = []
  readonly #clock: Clock
  readonly #window: Millis
  readonly #machineByToken = new Map<FencingToken, number>()
  /** The times at which each machine last acted, and began to act after another one. */
  readonly #lastActs = new Map<number, Millis>()
  #highest = 0
  #sharedTokens = 0
  #tokensBack = 0
  #interleaved = 0

  constructor (clock: Clock, window: Millis) {
    this.#clock = clock
    this.#window = window
  }

  get violations (): DutyViolations {
    return { sharedTokens: this.#sharedTokens, tokensBack: this.#tokensBack, interleaved: this.#interleaved }
  }

  get violationCount (): number {
    return this.#sharedTokens + this.#tokensBack + this.#interleaved
  }

  receive ({ machine, holder, token }: Omit<DutyAct, 'at'>): void {
    const at = this.#clock.now()
    const sender = this.#machineByToken.get(token) ?? machine
    if (sender !== machine) this.#sharedTokens++
    this.#machineByToken.set(token, sender)
    if (token < this.#highest) this.#tokensBack++
    this.#highest = Math.max(this.#highest, token)
    if (this.#isInterleaved(machine, at)) this.#interleaved++
    this.#lastActs.set(machine, at)
    this.acts.push({ at, machine, holder, token })
  }

  /** Whether another machine has acted since this one's last act, which is within the window. */
  #isInterleaved (machine: number, at: Millis): boolean {
    const own = this.#lastActs.get(machine)
    if (own === undefined || at - own > this.#window) return false
    return [...this.#lastActs].some(([other, last]) => other !== machine && millis(last - own) >= 0)
  }
}

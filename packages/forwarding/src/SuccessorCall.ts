import { millis } from '@papayahill/common'
import type { Timer } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import type { CallReplacement, Successor } from './CallReplacement.js'
import { MAX_UNSENT_TIME, REJECTION_TIME } from './constants.js'
import type { EndpointCall } from './EndpointCall.js'
import type { ForwardContext } from './ForwardContext.js'
import type { CallEnd, CallObserver } from './types.js'

/** A call in progress, and the one that would take its place. */
export interface OngoingCall {
  readonly endpoint: Endpoint
  readonly call: EndpointCall
  readonly ended: Promise<CallEnd>
  readonly replacement: CallReplacement<SuccessorCall>
}

/**
 * Whether an endpoint takes a request: it begins to answer, or does not reject it within a short time after it was sent. It does
 * not if no connection to it opens. A late process could not end the silent call soon enough, and takes what was sent for accepted.
 *
 * @example
 * const acceptance = new CallAcceptance(context) // the observer of the call
 * await acceptance.accepted
 */
export class CallAcceptance implements CallObserver {
  readonly accepted: Promise<boolean>
  readonly #context: Pick<ForwardContext, 'clock' | 'arrivals'>
  readonly #unsentTimer: Timer
  #decide: (isAccepted: boolean) => void = () => {}

  constructor (context: Pick<ForwardContext, 'clock' | 'arrivals'>) {
    this.#context = context
    this.accepted = new Promise((resolve) => { this.#decide = resolve })
    this.#unsentTimer = context.clock.after(MAX_UNSENT_TIME, () => this.#decide(false))
  }

  sent (): void {
    const { clock, arrivals } = this.#context
    this.#unsentTimer.cancel()
    clock.after(arrivals.isPrompt ? REJECTION_TIME : millis(0), () => this.#decide(true))
  }

  answerBegan (): void {
    this.#decide(true)
  }
}

/**
 * A call that was sent while another one of the same request is silent.
 *
 * @example
 * const successor = new SuccessorCall(ongoing, acceptance)
 * if (!await successor.accepted) return 'the silent call goes on'
 */
export class SuccessorCall implements Successor {
  readonly accepted: Promise<boolean>
  readonly ongoing: OngoingCall
  #hasEnded = false

  constructor (ongoing: OngoingCall, acceptance: CallAcceptance) {
    this.ongoing = ongoing
    void ongoing.ended.then(() => { this.#hasEnded = true })
    const hasEndedWell = ongoing.ended.then(({ kind }) => kind === 'answered' || kind === 'streamed')
    this.accepted = Promise.race([hasEndedWell, acceptance.accepted])
  }

  cancel (): void {
    if (!this.#hasEnded) this.ongoing.call.cancel()
  }
}

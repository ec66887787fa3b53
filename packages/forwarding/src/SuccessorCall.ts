import { millis } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import type { CallReplacement, Successor } from './CallReplacement.js'
import { REJECTION_TIME } from './constants.js'
import type { EndpointCall } from './EndpointCall.js'
import type { ForwardContext } from './ForwardContext.js'
import type { CallEnd } from './types.js'

/** A call in progress, and the one that would take its place. */
export interface OngoingCall {
  readonly endpoint: Endpoint
  readonly call: EndpointCall
  readonly ended: Promise<CallEnd>
  readonly replacement: CallReplacement<SuccessorCall>
}

/** Whether an endpoint that ended a call like this has run it, or may have. */
export const mayHaveRun = ({ kind }: CallEnd): boolean => kind !== 'not-run' && kind !== 'inputs-gone'

/**
 * A call that was sent while another one of the same request is silent. Its endpoint has taken it if it begins to answer, or does
 * not reject it within a short time. A process that is late could not end the other call soon enough, and does so at once.
 *
 * @example
 * const successor = new SuccessorCall(context, ongoing, answerBegan)
 * if (!await successor.accepted) return 'the silent call goes on'
 */
export class SuccessorCall implements Successor {
  readonly accepted: Promise<boolean>
  readonly ongoing: OngoingCall

  constructor ({ clock, arrivals }: Pick<ForwardContext, 'clock' | 'arrivals'>, ongoing: OngoingCall, answerBegan: Promise<void>) {
    this.ongoing = ongoing
    const isTaken = Promise.race([answerBegan, clock.sleep(arrivals.isPrompt ? REJECTION_TIME : millis(0))]).then(() => true)
    const hasEndedWell = ongoing.ended.then(({ kind }) => kind === 'answered' || kind === 'streamed')
    this.accepted = Promise.race([hasEndedWell, isTaken])
  }

  cancel (): void {
    this.ongoing.call.cancel()
  }
}

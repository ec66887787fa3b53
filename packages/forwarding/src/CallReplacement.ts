import type { StageResult } from '@papayahill/batching'
import { MAX_PREPARATIONS } from './constants.js'
import type { RequestStages, StagesRun } from './RequestStages.js'
import type { ReplacementDenial } from './types.js'

/** A call that is sent to take the place of a silent one. */
export interface Successor {
  /** Whether its endpoint has taken the request, as far as it says within a short time. */
  readonly accepted: Promise<boolean>
  /** Ends it: the other call goes on. */
  cancel (): void
}

export interface CallReplacementOptions<Next extends Successor> {
  /** What is missing for another call, apart from inputs and the retry budget; undefined if nothing is. */
  readonly denial: () => ReplacementDenial | undefined
  /** Takes a retry from the budget of the service, if there is one. */
  readonly takeRetry: () => boolean
  /** Gives back a retry that was not sent. */
  readonly returnRetry: () => void
  readonly stages: RequestStages
  /** Sends the call that takes the place of the silent one; undefined if no endpoint can get it. */
  readonly begin: () => Next | undefined
  /** Ends the silent call: another endpoint has taken the request. */
  readonly endSilent: () => void
  /** Called when something is missing, once for each reason. */
  readonly onDenied: (denial: ReplacementDenial) => void
}

/** Inputs of the next call. */
interface MadeInputs {
  readonly run: StagesRun
  readonly inputs: readonly StageResult[]
}

/**
 * The call that takes the place of one whose endpoint sends nothing. Silence is only a guess that the endpoint is gone, so the silent
 * call goes on until all that the next one needs has been taken, and the next endpoint has not rejected it.
 *
 * @example
 * replacement.callIsSilent() // again and again while the silence lasts
 * replacement.callIsHeard() // the call sends again: nothing is replaced
 * const next = replacement.takeSuccessor() // the call has ended
 */
export class CallReplacement<Next extends Successor> {
  readonly #options: CallReplacementOptions<Next>
  #hasRetry = false
  /** The run that makes the inputs anew. */
  #preparing: StagesRun | undefined
  #made: MadeInputs | undefined
  #preparations = 0
  #successor: Next | undefined
  #denied: ReplacementDenial | undefined

  constructor (options: CallReplacementOptions<Next>) {
    this.#options = options
  }

  /** The call sent to take the place of the silent one, until it is taken or rejected. */
  get successor (): Next | undefined {
    return this.#successor
  }

  /** The call sends nothing: replaces it, or prepares that. */
  callIsSilent (): void {
    if (this.#successor !== undefined || this.#preparing !== undefined) return
    const denial = this.#options.denial() ?? this.#missing()
    if (denial !== undefined) return this.#deny(denial)
    if (this.#made === undefined && !this.#options.stages.areInputsHeld) void this.#prepare()
    else this.#begin()
  }

  /** The call sends again: gives back what was taken. */
  callIsHeard (): void {
    this.#denied = undefined
    this.cancel()
  }

  /** The call has ended: the one that has been sent in its place, if any. */
  takeSuccessor (): Next | undefined {
    const successor = this.#successor
    this.#successor = undefined
    return successor
  }

  /** The call has ended before another one was sent: whether one may be sent with what has been prepared, for which this waits. */
  async takePrepared (): Promise<boolean> {
    if (this.#preparing !== undefined) await this.#preparing.results
    if (!this.#hasRetry || (this.#made === undefined && !this.#options.stages.areInputsHeld)) return false
    this.#adoptInputs()
    this.#hasRetry = false
    return true
  }

  /** Gives back what was taken and not used, and ends what was sent. */
  cancel (): void {
    this.takeSuccessor()?.cancel()
    if (this.#hasRetry) this.#options.returnRetry()
    this.#hasRetry = false
    const run = this.#preparing ?? this.#made?.run
    if (run !== undefined) this.#options.stages.drop(run.graph)
    this.#preparing = undefined
    this.#made = undefined
  }

  #missing (): ReplacementDenial | undefined {
    const needsInputs = this.#made === undefined && !this.#options.stages.areInputsHeld
    if (needsInputs && this.#preparations >= MAX_PREPARATIONS) return 'inputs'
    this.#hasRetry ||= this.#options.takeRetry()
    return this.#hasRetry ? undefined : 'budget'
  }

  async #prepare (): Promise<void> {
    this.#preparations++
    const run = this.#options.stages.begin()
    this.#preparing = run
    const results = await run.results
    if (this.#preparing !== run) return
    this.#preparing = undefined
    if (results.isOk) {
      this.#made = { run, inputs: results.value }
      this.callIsSilent()
    } else {
      this.cancel()
      this.#deny('inputs')
    }
  }

  #begin (): void {
    this.#adoptInputs()
    const successor = this.#options.begin()
    if (successor === undefined) return this.#deny('endpoint')
    this.#successor = successor
    this.#hasRetry = false
    void successor.accepted.then((isAccepted) => this.#noteAccepted(successor, isAccepted))
  }

  #noteAccepted (successor: Next, isAccepted: boolean): void {
    if (this.#successor !== successor) return
    if (isAccepted) return this.#options.endSilent()
    this.#successor = undefined
    successor.cancel()
    this.#deny('endpoint')
  }

  #adoptInputs (): void {
    if (this.#made !== undefined) this.#options.stages.adopt(this.#made.run, this.#made.inputs)
    this.#made = undefined
  }

  #deny (denial: ReplacementDenial): void {
    if (this.#denied === denial) return
    this.#denied = denial
    this.#options.onDenied(denial)
  }
}

import { firstByRendezvous, hash64, millis } from '@papayahill/common'
import type { Clock, Millis } from '@papayahill/common'
import type { ListenerState } from '@papayahill/connections'
import type { Endpoint, EndpointDirectory } from '@papayahill/directory'
import { partIdOf, scopeIdOf, wholeIdOf } from '@papayahill/quarantine'
import type { Quarantine, QuarantineManager, RequestCheck, ScopedIncarnation } from '@papayahill/quarantine'
import { SECOND_PROBE_DELAY } from './constants.js'
import { fingerprintOf } from './fingerprintOf.js'
import type { ForwardRequest } from './types.js'

export interface CallQuarantineOptions {
  readonly clock: Clock
  readonly quarantines: QuarantineManager
  readonly directory: Pick<EndpointDirectory, 'onGone'>
  /** Whether the endpoint's process still listens. */
  readonly probe: (endpoint: Endpoint) => Promise<ListenerState>
}

/** How a call was lost: in the middle of its answer or, before it began, with the request to be sent on, or for good. */
export type CallLoss = 'midway' | 'sent-on' | 'for-good'

type LossHandler = (quarantines: QuarantineManager, incarnation: ScopedIncarnation, check: RequestCheck) => void

const LOSS_HANDLERS: Readonly<Record<CallLoss, LossHandler>> = {
  midway: (quarantines, incarnation, check) => {
    const whole = check.takeMidwayLoss()
    if (whole !== undefined) quarantines.noteLostWhole(whole, { incarnation, suspects: [whole] })
  },
  'sent-on': (quarantines, incarnation, check) => {
    const { parts, whole, suspects } = check
    if (parts.length > 0) quarantines.noteLost(incarnation, parts)
    if (whole !== undefined) quarantines.noteLostWhole(whole, { incarnation, suspects })
  },
  'for-good': (quarantines, incarnation, check) => quarantines.noteLost(incarnation, check.suspects)
}

/** Its incarnation's short name, as all instances know it. */
const incarnationOf = ({ id, incarnation }: Endpoint): string => hash64(`${id} ${incarnation}`)

/**
 * Tells the quarantines which calls were lost with their endpoints, and which answers began and ended, by the parts of their
 * prompts and by whole requests.
 *
 * @example
 * const check = callQuarantine.check(request)
 * if (check.quarantineOf(endpoints) !== undefined) refuse()
 */
export class CallQuarantine {
  readonly #options: CallQuarantineOptions
  readonly #probed = new WeakSet<Endpoint>()

  constructor (options: CallQuarantineOptions) {
    this.#options = options
    options.directory.onGone((endpoint, isRestart) => {
      if (isRestart && !endpoint.isLeaving && !endpoint.record.isDraining) options.quarantines.confirmCrash(incarnationOf(endpoint))
    })
  }

  /** The standing of a request. */
  check (request: ForwardRequest): CallCheck {
    return new CallCheck(this, this.#options.quarantines, request)
  }

  /** A call was lost with its connection. */
  callLost (endpoint: Endpoint, incarnation: ScopedIncarnation, check: RequestCheck, loss: CallLoss): void {
    if (endpoint.isLeaving || endpoint.record.isDraining) return
    LOSS_HANDLERS[loss](this.#options.quarantines, incarnation, check)
    if (this.#probed.has(endpoint)) return
    this.#probed.add(endpoint)
    void this.#probe(endpoint)
  }

  /** Nothing listens at the endpoint's address. */
  endpointRefused (endpoint: Endpoint): void {
    if (!endpoint.isLeaving && !endpoint.record.isDraining) this.#options.quarantines.confirmCrash(incarnationOf(endpoint))
  }

  async #probe (endpoint: Endpoint): Promise<void> {
    const { clock, probe } = this.#options
    const first = await probe(endpoint)
    if (first === 'refused') return this.endpointRefused(endpoint)
    await clock.sleep(SECOND_PROBE_DELAY)
    if (await probe(endpoint) === 'refused') this.endpointRefused(endpoint)
  }
}

/** One request's standing at each endpoint, asked again whenever it is about to go out. */
export class CallCheck {
  readonly #owner: CallQuarantine
  readonly #quarantines: QuarantineManager
  readonly #model: string
  readonly #check: RequestCheck

  constructor (owner: CallQuarantine, quarantines: QuarantineManager, request: ForwardRequest) {
    const { prompt } = request
    this.#owner = owner
    this.#quarantines = quarantines
    this.#model = prompt?.model ?? ''
    // The last part belongs to the request itself.
    const parts = prompt?.parts.slice(0, -1).map(({ id }) => partIdOf(id)) ?? []
    this.#check = quarantines.check(parts, () => wholeIdOf(fingerprintOf(request)))
  }

  /** The quarantine that keeps the request from all of the endpoints; undefined if it may go to one, or if there is none. */
  quarantineOf (endpoints: readonly Endpoint[]): Quarantine | undefined {
    let found: Quarantine | undefined
    for (const endpoint of endpoints) {
      found = this.quarantineAt(endpoint)
      if (found === undefined) return undefined
    }
    return found
  }

  quarantineAt (endpoint: Endpoint): Quarantine | undefined {
    return this.#check.find(this.#scopeOf(endpoint))
  }

  /** Whether the request must be taken back from the endpoint before its answer begins. */
  mustWithdraw (endpoint: Endpoint): boolean {
    return this.#check.mustWithdraw(this.#scopeOf(endpoint))
  }

  /**
   * The endpoint for a suspected request, or one with a suspected part; undefined if it has none. All instances send those with
   * one part to one endpoint, and those with another part to another, so that few endpoints crash and each crash tells parts apart.
   */
  suspectEndpoint (endpoints: readonly Endpoint[]): Endpoint | undefined {
    const [any] = endpoints
    if (any === undefined) return undefined
    const part = this.#quarantines.suspectIn(this.#scopeOf(any), this.#check.suspects)
    return part === undefined ? undefined : firstByRendezvous(part, endpoints, ({ id }) => id)
  }

  callSent (): void {
    this.#check.noteSent()
  }

  /** The answer has begun. `sentAt` is when the call was sent, on the monotonic clock. */
  answerBegan (endpoint: Endpoint, sentAt: Millis): void {
    this.#quarantines.noteBegun(this.#scopeOf(endpoint), this.#check.parts)
    this.#quarantines.dismissCrash(incarnationOf(endpoint), millis(sentAt))
  }

  /** The answer was received to its end, whatever its status. */
  answerEnded (endpoint: Endpoint): void {
    const { whole } = this.#check
    if (whole !== undefined) this.#quarantines.noteEnded(this.#scopeOf(endpoint), whole)
  }

  /** The call was lost with its connection. */
  callLost (endpoint: Endpoint, loss: CallLoss): void {
    this.#owner.callLost(endpoint, this.#incarnationAt(endpoint), this.#check, loss)
  }

  /** Crashes of other endpoints under this request, whichever instance and attempt sent it there. */
  crashesBefore (endpoint: Endpoint): number {
    const { whole } = this.#check
    return whole === undefined ? 0 : this.#quarantines.crashesWith(this.#incarnationAt(endpoint), whole)
  }

  #incarnationAt (endpoint: Endpoint): ScopedIncarnation {
    return { scope: this.#scopeOf(endpoint), endpoint: endpoint.id, incarnation: incarnationOf(endpoint) }
  }

  #scopeOf ({ service, record }: Endpoint): ScopedIncarnation['scope'] {
    return scopeIdOf(service, record.version, this.#model)
  }
}

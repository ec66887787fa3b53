import { firstByRendezvous, hash64, millis } from '@papayahill/common'
import type { Clock, Millis } from '@papayahill/common'
import type { ListenerState } from '@papayahill/connections'
import type { Endpoint, EndpointDirectory } from '@papayahill/directory'
import { partIdOf, scopeIdOf } from '@papayahill/quarantine'
import type { Quarantine, QuarantineManager, RequestCheck, ScopedIncarnation } from '@papayahill/quarantine'
import { SECOND_PROBE_DELAY } from './constants.js'
import type { Prompt } from './types.js'

export interface CallQuarantineOptions {
  readonly clock: Clock
  readonly quarantines: QuarantineManager
  readonly directory: Pick<EndpointDirectory, 'onGone'>
  /** Whether the endpoint's process still listens. */
  readonly probe: (endpoint: Endpoint) => Promise<ListenerState>
}

/** Its incarnation's short name, as all instances know it. */
const incarnationOf = ({ id, incarnation }: Endpoint): string => hash64(`${id} ${incarnation}`)

/**
 * Tells the quarantines which calls were lost with their endpoints and which answers began, by the parts of their prompts.
 *
 * @example
 * const check = callQuarantine.check(request.prompt)
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

  /** The standing of a request with this prompt. */
  check (prompt: Prompt | undefined): CallCheck {
    return new CallCheck(this, this.#options.quarantines, prompt)
  }

  /** A call was lost with its connection before its answer began. */
  callLost (endpoint: Endpoint, incarnation: ScopedIncarnation, check: RequestCheck): void {
    if (check.parts.length === 0 || endpoint.isLeaving || endpoint.record.isDraining) return
    this.#options.quarantines.noteLost(incarnation, check.parts)
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

  constructor (owner: CallQuarantine, quarantines: QuarantineManager, prompt: Prompt | undefined) {
    this.#owner = owner
    this.#quarantines = quarantines
    this.#model = prompt?.model ?? ''
    // The last part belongs to the request itself.
    this.#check = quarantines.check(prompt?.parts.slice(0, -1).map(({ id }) => partIdOf(id)) ?? [])
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
   * The endpoint for a request with a suspected part; undefined if it has none. All instances send those with one part to
   * one endpoint, and those with another part to another, so that few endpoints crash and each crash tells parts apart.
   */
  suspectEndpoint (endpoints: readonly Endpoint[]): Endpoint | undefined {
    const [any] = endpoints
    if (any === undefined) return undefined
    const part = this.#quarantines.suspectIn(this.#scopeOf(any), this.#check.parts)
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

  callLost (endpoint: Endpoint): void {
    const incarnation = { scope: this.#scopeOf(endpoint), endpoint: endpoint.id, incarnation: incarnationOf(endpoint) }
    this.#owner.callLost(endpoint, incarnation, this.#check)
  }

  #scopeOf ({ service, record }: Endpoint): ScopedIncarnation['scope'] {
    return scopeIdOf(service, record.version, this.#model)
  }
}

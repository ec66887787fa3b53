import type { Failure, InstanceId, Millis, ServiceId } from '@papayahill/common'
import type { PeerMember } from '@papayahill/peers'
import type { StreamRelay } from './StreamRelay.js'
import type { HeaderList } from '@papayahill/connections'
import type { ForwardRequest } from './types.js'

/** What the instance that received a request tells the peer that it hands the request over to. */
export interface DetouredRequest {
  /** Calls so far that may have run; they count towards the route's `maxAttempts`. */
  readonly runs: number
  /** Whether it counts towards the retry budgets already. */
  readonly isCounted: boolean
  /** Called before each call, with the number of calls that may have run, including it. */
  readonly onRun: (runs: number) => void
}

/** A request to hand over, as far as it has got. */
export interface HandOver {
  readonly request: ForwardRequest
  readonly service: ServiceId
  readonly to: PeerMember
  readonly runs: number
  readonly isCounted: boolean
  /** Time by which its answer must be complete. */
  readonly endsAt: Millis
  /** Receives a streamed answer. */
  readonly relay: StreamRelay | undefined
  /** Whether another instance or endpoint may get the request, since the peer is silent, after so many runs; takes what that needs. */
  readonly mayReplace: (runs: number) => boolean
}

/** How a hand-over ended. */
export type HandOverEnd =
  | { readonly kind: 'answered', readonly status: number, readonly headers: HeaderList, readonly body: Buffer }
  /** The stream was completed. */
  | { readonly kind: 'streamed' }
  /** The peer did not take the request, or states that it did not run it and another one might. */
  | { readonly kind: 'not-taken', readonly detail: string, readonly retryAfter?: Millis | undefined }
  /** The peer refused the request, or it failed there. */
  | { readonly kind: 'failed', readonly failure: Failure }
  /** The request may have run; `runs` counts its calls that may have, here and there. */
  | { readonly kind: 'lost', readonly detail: string, readonly runs: number }

/** Hands requests over to peers that reach the endpoints that this instance does not reach. */
export interface Detour {
  /** The peer to hand the request over to; none of `tried`. */
  choose (request: ForwardRequest, service: ServiceId, tried: ReadonlySet<InstanceId>): PeerMember | undefined
  handOver (given: HandOver): Promise<HandOverEnd>
}

import type { Endpoint, ServingRoute } from '@papayahill/directory'
import type { CallEnd } from './types.js'

/** Reports the progress of one call, by which the version of its endpoint is judged. */
export interface VersionCall {
  /** The first byte of the answer arrived. */
  answerBegan (): void
  /** The call ended; `isCancelled` if its caller had disconnected. */
  callEnded (end: CallEnd, isCancelled: boolean): void
}

/** Selects the versions of a service that may get a request, by the outcomes of earlier calls. */
export interface VersionGate {
  /** The endpoints that a request on the route may be sent to. */
  selectCandidates (service: Endpoint['service'], route: ServingRoute, endpoints: readonly Endpoint[]): readonly Endpoint[]
  /** Records that a request was sent to one of them. */
  recordCall (endpoint: Endpoint, route: ServingRoute): VersionCall
}

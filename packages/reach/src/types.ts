import type { InstanceId, ServiceId } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import type { PeerMember } from '@papayahill/peers'

/** What this instance and its peers reach, as those that place work read it. */
export interface Reach {
  /** False once this instance has lost its paths to all usable endpoints of the service. */
  reaches (service: ServiceId): boolean
  /** False once this instance has lost its own path to the endpoint, whether or not the endpoint is sound. */
  reachesEndpoint (endpoint: Endpoint): boolean
  /** False if a peer has told that it reaches no endpoint of the service. */
  isReachedBy (instance: InstanceId, service: ServiceId): boolean
  /** Peers that are considered alive and have not told that they reach no endpoint of the service. */
  peersReaching (service: ServiceId): readonly PeerMember[]
  /** Calls the listener when the answer of `reaches` for a service has changed. */
  onChange (listener: (service: ServiceId, isReached: boolean) => void): void
}

/** What calls to endpoints show about the paths to them. */
export interface PathEvidence {
  /** Bytes arrived from the endpoint, or a new connection to it opened. */
  noteContact (endpoint: Endpoint): void
  /** A connection could not be opened, or ended without an orderly close. */
  noteNoContact (endpoint: Endpoint): void
  /** A call has waited for its first byte for longer than is usual; the path is then probed. */
  noteSilence (endpoint: Endpoint): void
  /** A call was given up for its silence; the endpoint is avoided only if it has been silent for far longer than a sound one. */
  noteHang (endpoint: Endpoint): void
}

/** Whether something accepts connections at an endpoint's address; `unknown` if there was no answer in time. */
export type ProbeResult = 'listening' | 'refused' | 'unknown'

/** Holds back what a lost call shows about its endpoint until it is known whether this instance was cut off. */
export interface LossJudge {
  /** Calls `tell` once the loss is known to be the endpoint's; never, if this instance had lost its paths to all endpoints. */
  judgeLoss (endpoint: Endpoint, tell: () => void): void
  /** The same for a call that has waited for long; bytes from any endpoint just now show that this instance is not cut off. */
  judgeWait (endpoint: Endpoint, tell: () => void): void
}

/** A judge that takes all losses for the endpoints'. */
export const NO_JUDGE: LossJudge = { judgeLoss: (_endpoint, tell) => tell(), judgeWait: (_endpoint, tell) => tell() }

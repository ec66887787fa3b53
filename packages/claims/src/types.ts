import type {
  BodyDigest, ClassId, Failure, IdempotencyKey, Incarnation, InstanceId, Json, Millis, RequestId, ServiceId, WorkspaceId
} from '@papayahill/common'

/** A request that may run at most once and has not been sent yet. */
export interface ClaimRequest {
  readonly workspace: WorkspaceId
  readonly class: ClassId
  readonly service: ServiceId
  readonly key: IdempotencyKey
  readonly digest: BodyDigest
  readonly request: RequestId
  /** How long the caller can wait for the outcome of another attempt. */
  readonly maxWait: Millis
}

/** The final answer to a claimed request; stored, and replayed to every later caller. */
export type ClaimOutcome =
  | { readonly kind: 'answered', readonly body: Json }
  | { readonly kind: 'failed', readonly failure: Failure }

/** The right to send a request once. */
export interface ClaimAttempt {
  /** Call in the event loop iteration that writes the first byte. False means that the right has expired: do not send. */
  dispatch (): boolean
  /**
   * Ends the attempt of a request of which nothing was sent. Resolves to true once the claim is released, so that
   * `not-run` holds; false if the release could not be recorded, and then the answer must be `unknown`.
   */
  markNotSent (): Promise<boolean>
  /** Records the outcome; resolves once it is in the store or two peers have a backup copy. */
  finish (outcome: ClaimOutcome): Promise<void>
  /** Ends the attempt of a request that was sent and whose outcome is unknown. */
  markLost (): Promise<void>
}

export type ClaimDecision =
  | { readonly kind: 'run', readonly attempt: ClaimAttempt }
  | { readonly kind: 'replay', readonly outcome: ClaimOutcome }
  | { readonly kind: 'refuse', readonly failure: Failure }

/** A claim as shown to operators. */
export interface ClaimStatus {
  readonly workspace: WorkspaceId
  readonly key: IdempotencyKey
  readonly class: ClassId
  readonly service: ServiceId
  readonly state: 'claimed' | 'answered' | 'failed' | 'unknown'
  readonly owner: InstanceId
  readonly ownerIncarnation: Incarnation
}

export type Resolution = 'ran' | 'not-run'

/** A service's status of an idempotency key. */
export type KeyStatus =
  | { readonly kind: 'ran', readonly body: Json }
  | { readonly kind: 'not-run' }
  | { readonly kind: 'running' }

/** An idempotency key to look up in the service of the class's last stage. */
export interface KeyQuery {
  readonly service: ServiceId
  readonly class: ClassId
  readonly key: IdempotencyKey
}

/** Looks up a key; undefined if the service offers no look-up, did not answer, or its answer does not cover all stages. */
export type KeyLookUp = (query: KeyQuery) => Promise<KeyStatus | undefined>

interface RosterIncarnation {
  readonly id: InstanceId
  readonly incarnation: Incarnation
}

/** The part of the roster that claims use: current and departed incarnations. */
export interface ClaimRoster {
  view (): { readonly members: readonly RosterIncarnation[], readonly departed: readonly RosterIncarnation[] }
}

export interface Claims {
  /**
   * Records the arrival of a request that may be queued before `begin`. `begin` then decides by what the store
   * held on arrival: another instance may answer "not run" for the same key in between, and that must stay true.
   */
  noteArrival? (request: Pick<ClaimRequest, 'workspace' | 'key' | 'request'>): void
  begin (request: ClaimRequest): Promise<ClaimDecision>
  /** Claims whose outcome is unknown, for operators. */
  listUnknown (): Promise<readonly ClaimStatus[]>
  /** Settles an unknown claim by an operator's decision. */
  resolve (workspace: WorkspaceId, key: IdempotencyKey, resolution: Resolution): Promise<Failure | undefined>
  /** Hands over unwritten outcomes before a planned stop. */
  drain (): Promise<void>
}

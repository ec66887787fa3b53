import type { Brand, Bytes, EndpointId, Incarnation, InstanceId, Millis, ServiceId } from '@papayahill/common'
import type { BatchProfile, Endpoint } from '@papayahill/directory'

/** One unit of a stage's work; an endpoint runs it in a batch and holds its result. */
export interface Piece {
  /** The caller's attempt to which it belongs. */
  readonly request: string
  readonly stage: number
  /** Index of the piece within its stage, from 0. */
  readonly index: number
  /** Input of first stages; later ones read `inputs` instead. */
  readonly key: string | undefined
  /** Handles of all results of the preceding stages. */
  readonly inputs: readonly string[]
  /** Length of its id, key and inputs in the body of a call. */
  readonly callCharacters: number
  /** Calls that were lost with the piece because their connection ended: it may be what ends them. */
  readonly losses: number
  /** Total size of the inputs. */
  readonly inputBytes: Bytes
  readonly resultBytes: Bytes
  /** Monotonic time by which it should end for its request to meet its target. */
  readonly due: Millis
  /** Monotonic time after which its result is useless. */
  readonly deadline: Millis
  /** Time that its request needs after it, for the stages that follow and the answer. */
  readonly timeAfter: Millis
  /** Priority of its request; 0 is the most urgent. */
  readonly priority: number
}

/** Why a piece has no result. */
export type PieceFault =
  /** It could not end by its deadline, or its request was cancelled. */
  | 'late'
  /** One of its inputs is gone. */
  | 'gone'
  /** The endpoint has no memory for its result. */
  | 'room'
  /** The endpoint failed, or did not answer in time. */
  | 'failed'
  /** Its call's connection ended before the answer. */
  | 'lost'
  /** No endpoint that may run it accepts work, or its endpoint was unreachable. */
  | 'unplaced'
  /** Another instance coordinates the group now. */
  | 'moved'

/** Outcome of a piece, with the endpoint that ran it. */
export type PieceOutcome =
  | { readonly handle: string, readonly endpoint: EndpointId }
  | { readonly fault: PieceFault, readonly endpoint: EndpointId | undefined }

/** Outcome of a piece within a call to a known endpoint. */
export type CallOutcome = { readonly handle: string } | { readonly fault: PieceFault }

/** Outcome of a call with a batch. */
export type BatchAnswer =
  | { readonly kind: 'answered', readonly outcomes: readonly CallOutcome[] }
  /** The endpoint answered that it did not run the call. */
  | { readonly kind: 'refused', readonly detail: string }
  /**
   * It may have run; `isConnectionLost` if its connection ended before the answer was complete, `isWithdrawn` if this
   * instance gave it up, since it had lost its path to the endpoint.
   */
  | { readonly kind: 'lost', readonly detail: string, readonly isConnectionLost: boolean, readonly isWithdrawn?: boolean }
  /** No connection could be opened; nothing was sent. */
  | { readonly kind: 'unreachable', readonly detail: string }

/** Calls stage endpoints over the platform's protocol. */
export interface BatchCaller {
  call (endpoint: Endpoint, pieces: readonly Piece[], timeout: Millis): Promise<BatchAnswer>
  /** Releases results at an endpoint; resolves when it has answered or the call has failed. */
  free (endpoint: Endpoint, handles: readonly string[]): Promise<void>
}

/** Id of a group: endpoints of one service for which a single instance coordinates batches. */
export type GroupId = Brand<string, 'GroupId'>

/** An endpoint that may run an order's pieces. */
export interface Place {
  readonly endpoint: EndpointId
  /** Delay that stands for the bytes that would cross failure domains, for each piece. */
  readonly cost: Millis
}

/** The pieces of one stage of a request, to be run by any of the listed endpoints of one group. */
export interface StageOrder {
  readonly group: GroupId
  readonly places: readonly Place[]
  readonly pieces: readonly Piece[]
}

/** Id of an order sent to another instance, unique among the orders of all instances and their incarnations. */
export type OrderId = Brand<string, 'OrderId'>

/** The process that gave an order. */
export interface OrderSender {
  readonly id: InstanceId
  readonly incarnation: Incarnation
}

/** Time until an endpoint could begin a piece that arrives now. */
export interface EndpointBacklog {
  readonly endpoint: EndpointId
  readonly backlog: Millis
}

/** A result with the endpoint that holds it. */
export interface StageResult {
  readonly handle: string
  readonly endpoint: EndpointId
  readonly resultBytes: Bytes
  /** Monotonic time after which the endpoint may have dropped it. */
  readonly expiresAt: Millis
}

/** Looks up the batch profile of a service's endpoints. */
export type ProfileOf = (service: ServiceId) => BatchProfile | undefined

/** Receives the progress of an order. */
export interface OrderListener {
  /** The endpoints have read the inputs of all pieces. */
  onInputsRead (): void
}

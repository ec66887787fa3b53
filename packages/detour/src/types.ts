import type { Brand, Failure, Incarnation, Millis, ServiceId, WorkspaceId } from '@papayahill/common'
import type { HeaderList } from '@papayahill/connections'
import type { Prompt } from '@papayahill/forwarding'

/** Names one hand-over for good: the origin's incarnation and a number. */
export type HandOverId = Brand<string, 'HandOverId'>

/** What a peer is told of a request before it takes it; the body follows once it has. */
export interface Offer {
  /** The process that is asked; its successor under the same id declines. */
  readonly to: Incarnation
  readonly attempt: string
  readonly method: string
  readonly path: string
  readonly headers: HeaderList
  readonly hasBody: boolean
  readonly host: string
  readonly route: string
  readonly service: ServiceId
  readonly workspace: WorkspaceId | undefined
  readonly priority: number
  readonly configVersion: number
  readonly prompt: Prompt | undefined
  readonly resumeAfter: string | undefined
  readonly pieceCounts: readonly number[]
  readonly pieceKey: string | undefined
  /** Time since the request arrived, and time until its answer must be complete. */
  readonly age: Millis
  readonly timeLeft: Millis
  readonly runs: number
  readonly isCounted: boolean
}

/** A peer's answer to an offer. */
export type OfferAnswer =
  | { readonly isTaken: true }
  | { readonly isTaken: false, readonly detail: string, readonly retryAfter: Millis | undefined }

/** A numbered part of what one side sends about a hand-over. */
export type Part =
  /** Of the request's body, from its origin. */
  | { readonly kind: 'body', readonly bytes: Buffer, readonly isLast: boolean }
  /** The peer is about to make a call that may run; all the others come from the peer, too. */
  | { readonly kind: 'run', readonly runs: number }
  | { readonly kind: 'head', readonly status: number, readonly headers: HeaderList, readonly isStream: boolean }
  | { readonly kind: 'data', readonly bytes: Buffer }
  | { readonly kind: 'end' }
  | { readonly kind: 'cut' }
  | { readonly kind: 'fail', readonly failure: Failure }
  /** Nothing has run, and another instance may serve the request. */
  | { readonly kind: 'not-taken', readonly detail: string, readonly retryAfter: Millis | undefined }

/** Messages between instances about hand-overs. */
export type DetourMessage =
  | { readonly kind: 'offer', readonly id: HandOverId, readonly offer: Offer }
  | { readonly kind: 'part', readonly id: HandOverId, readonly number: number, readonly part: Part }
  /** All parts below this number have arrived. */
  | { readonly kind: 'confirm', readonly id: HandOverId, readonly count: number }
  | { readonly kind: 'cancel', readonly id: HandOverId }

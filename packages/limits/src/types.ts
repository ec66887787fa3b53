import type { Millis, ServiceId } from '@papayahill/common'
import type { Endpoint, LimitSource, NamedLimit } from '@papayahill/directory'

/** A limit that is in force. */
export type ActiveLimit = NamedLimit & { readonly perSecond: number }

/** This instance's part in an endpoint's limit, for logs. */
export interface LimitPart {
  /** Requests per second from all instances together. */
  readonly perSecond: number
  readonly source: LimitSource
  /** Time since this instance learned the limit. */
  readonly age: Millis
  /** Requests per second of this instance's own share; 0 if it holds none. */
  readonly ownPerSecond: number
  /** Number of shares, each held by one instance. */
  readonly shares: number
  /** Time until this instance may have a token. */
  readonly availableIn: Millis
}

/** What the end of a call shows: an answer, a rejection for want of room, or nothing about where the call is now. */
export type CallEffect = 'answered' | 'rejected' | 'unknown'

/** This instance's places at a brittle endpoint, for logs. */
export interface RoomPart {
  /** Rejections per second that the endpoint bears, of all instances together. */
  readonly rejectionsPerSecond: number
  /** Its slots that are this instance's. */
  readonly units: number
  /** Calls that this instance may have there now, after what rejections have shown. */
  readonly places: number
  readonly taken: number
}

/** Limits that endpoints named, as all instances keep them together: of requests, and of rejections while they are brittle. */
export interface RequestLimits {
  /** Whether a request may be sent to the endpoint now. */
  canSend (endpoint: Endpoint): boolean
  /**
   * Takes a token and a place if there are; must be called as the request goes out. A request that takes no slot, such as a
   * release of results, needs no place.
   */
  trySend (endpoint: Endpoint, takesSlot?: boolean): boolean
  /** Records how a call that takes a slot ended that `trySend` let out, and how long it took. */
  callEnded (endpoint: Endpoint, effect: CallEffect, took: Millis): void
  /** Asks another instance for a token in the background, unless one is there or was asked for. */
  request (endpoint: Endpoint): void
  /** Time until a request may be sent; 0 without a limit. */
  availableIn (endpoint: Endpoint): Millis
  /**
   * Whether its limit was not confirmed for the time between two requests. Only an answer shows that a limit has ended, so
   * a request should go there if there is a token.
   */
  isUnconfirmed (endpoint: Endpoint): boolean
  /** Least time between two requests of all instances together; 0 without a limit. */
  spacing (endpoint: Endpoint): Millis
  /** Waits until a place at a brittle endpoint of the service may be free for one of those that wait, at most for `span`. */
  waitForPlace (service: ServiceId, span: Millis): Promise<void>
}

/** No limits at all. */
export const UNLIMITED: RequestLimits = {
  canSend: () => true,
  trySend: () => true,
  callEnded: () => {},
  request: () => {},
  availableIn: () => 0 as Millis,
  isUnconfirmed: () => false,
  spacing: () => 0 as Millis,
  waitForPlace: () => Promise.resolve()
}

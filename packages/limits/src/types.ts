import type { Millis } from '@papayahill/common'
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

/** Limits of requests per second that endpoints named, as all instances keep them together. */
export interface RequestLimits {
  /** Whether a request may be sent to the endpoint now. */
  canSend (endpoint: Endpoint): boolean
  /** Takes a token if there is one; must be called as the request goes out. */
  trySend (endpoint: Endpoint): boolean
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
}

/** No limits at all. */
export const UNLIMITED: RequestLimits = {
  canSend: () => true,
  trySend: () => true,
  request: () => {},
  availableIn: () => 0 as Millis,
  isUnconfirmed: () => false,
  spacing: () => 0 as Millis
}

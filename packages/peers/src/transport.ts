import type { DomainId, Incarnation, InstanceId } from '@papayahill/common'
import type { Frame } from './frames.js'

/** The address that a peer listens on. */
export interface PeerAddress {
  readonly ip: string
  readonly port: number
}

/** Where a peer listens: the first port of a range that is free. */
export interface ListenRange extends PeerAddress {
  /** Last port of the range; `port` if it is not given. */
  readonly lastPort?: number
}

/** The authenticated identity of the peer at the other end of a link. */
export interface PeerIdentity {
  readonly id: InstanceId
  readonly incarnation: Incarnation
  readonly domain: DomainId
  readonly address: PeerAddress
}

/** An authenticated connection to one incarnation of a peer. */
export interface Link {
  readonly peer: PeerIdentity
  /** Whether this side opened it. */
  readonly isDialled: boolean
  /** Sends a frame; returns its size in bytes, or 0 if it was dropped. */
  send (frame: Frame): number
  onFrame (listener: (frame: Frame, size: number) => void): void
  onClose (listener: () => void): void
  /** Closes the link after sending buffered frames. */
  close (): void
  /** Closes the link immediately, for peers that no longer respond. */
  terminate (): void
}

/** Opens and accepts links: over WebSockets in production, in memory in tests. */
export interface Transport {
  /** Starts to accept links; resolves to the bound address. */
  listen (onLink: (link: Link) => void): Promise<PeerAddress>
  dial (address: PeerAddress): Promise<Link | undefined>
  close (): Promise<void>
}

/** An instance and its peer listener, as given by the platform's instance list. */
export interface ListedPeer {
  readonly id: InstanceId
  readonly address: PeerAddress
}

/** The part of the platform's instance list that this package uses. */
export interface PeerList {
  list (): Promise<
    | { readonly isOk: true, readonly isErr: false, readonly value: { readonly instances: readonly ListedPeer[] } }
    | { readonly isOk: false, readonly isErr: true, readonly error: { readonly kind: string } }
  >
}

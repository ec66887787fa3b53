import { SILENT_LOG } from '@papayahill/common'
import { PeerCore } from './PeerCore.js'
import type { PeerCoreOptions } from './PeerCore.js'
import type { ListenRange, PeerAddress } from './transport.js'
import { WsTransport } from './WsTransport.js'

export interface PeerLinksOptions extends Omit<PeerCoreOptions, 'transport'> {
  /** Shared by all instances and secret from everyone else. */
  readonly secret: string
  /** Port 0 picks a free port, for tests. */
  readonly listen: ListenRange
  /** Maximum number of accepted connections. */
  readonly maxSockets?: number
}

/**
 * The links of one instance to its peers over WebSockets.
 *
 * @example
 * const peers = new PeerLinks({ self, incarnation, domain, clock, random, secret, listen, list, log })
 * await peers.start()
 * peers.publish('load', 'own', { busy: 3 })
 */
export class PeerLinks extends PeerCore {
  constructor (options: PeerLinksOptions) {
    const { self: id, incarnation, domain, secret, listen, clock, maxSockets } = options
    const log = options.log ?? SILENT_LOG
    const identity = (address: PeerAddress) => ({ id, incarnation, domain, address })
    super({ ...options, transport: new WsTransport({ identity, secret, listen, clock, log, maxSockets }) })
  }
}

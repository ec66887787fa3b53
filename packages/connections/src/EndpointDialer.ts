import { KEEP_ALIVE } from '@papayahill/common'
import { buildConnector } from 'undici'
import { OPEN_TIMEOUT } from './constants.js'
import { probeListener } from './probeListener.js'
import type { ListenerState } from './probeListener.js'
import { probePath } from './probePath.js'

/** Opens connections to endpoints. */
export interface EndpointDialer {
  readonly connect: buildConnector.connector
  /** Whether something listens at an address. */
  readonly probe: (ip: string, port: number) => Promise<ListenerState>
  /** Whether new connections to an address reach what listens there. */
  readonly probePath: (ip: string, port: number) => Promise<ListenerState>
}

/** Opens TCP connections within {@link OPEN_TIMEOUT}. */
export const TCP_DIALER: EndpointDialer = {
  connect: buildConnector({ ...KEEP_ALIVE, timeout: OPEN_TIMEOUT }), probe: probeListener, probePath
}

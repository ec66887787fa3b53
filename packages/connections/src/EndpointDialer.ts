import { buildConnector } from 'undici'
import { OPEN_TIMEOUT } from './constants.js'
import { probeListener } from './probeListener.js'
import type { ListenerState } from './probeListener.js'

/** Opens connections to endpoints. */
export interface EndpointDialer {
  readonly connect: buildConnector.connector
  readonly probe: (ip: string, port: number) => Promise<ListenerState>
}

/** Opens TCP connections within {@link OPEN_TIMEOUT}. */
export const TCP_DIALER: EndpointDialer = { connect: buildConnector({ timeout: OPEN_TIMEOUT }), probe: probeListener }

import type { AddressInfo, Server } from 'node:net'

export interface SocketAddress {
  readonly ip: string
  /** 0 lets the system choose a free port. */
  readonly port: number
}

/** Connections that may wait to be accepted. */
const BACKLOG = 1024

/**
 * Starts to listen; resolves with the address that is bound, and rejects if the address cannot be bound. Errors after
 * that, such as a connection that cannot be accepted, are reported and do not end the process.
 *
 * @example
 * const { port } = await bindServer(server, { ip: '127.0.0.1', port: 0 }, (err) => report(err))
 */
export const bindServer = async (server: Server, { ip, port }: SocketAddress, onError: (err: Error) => void): Promise<SocketAddress> => {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host: ip, port, backlog: BACKLOG }, resolve)
  })
  server.removeAllListeners('error')
  server.on('error', onError)
  return { ip, port: (server.address() as AddressInfo).port }
}

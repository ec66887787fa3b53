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
  // A server that could not be bound is tried again, so no listener of a try may stay.
  server.removeAllListeners('error')
  await new Promise<void>((resolve, reject) => {
    const onListening = (): void => resolve()
    server.once('listening', onListening)
    server.once('error', (err) => {
      server.off('listening', onListening)
      reject(err)
    })
    server.listen({ host: ip, port, backlog: BACKLOG })
  })
  server.removeAllListeners('error')
  server.on('error', onError)
  return { ip, port: (server.address() as AddressInfo).port }
}

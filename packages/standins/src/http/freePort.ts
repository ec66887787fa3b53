import { randomInt } from 'node:crypto'
import { createServer } from 'node:net'

/** Below the ephemeral range, so that no outgoing connection takes a port before its listener does. */
const FIRST_PORT = 20_000
const LAST_PORT = 31_999
const returnedPorts = new Set<number>()

const isFree = (port: number): Promise<boolean> => new Promise((resolve) => {
  const server = createServer()
  server.once('error', () => resolve(false))
  server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
})

/**
 * Returns a loopback port that nothing listens on; never returns a port twice.
 *
 * @example
 * const port = await freePort()
 */
export const freePort = async (): Promise<number> => {
  for (;;) {
    const port = randomInt(FIRST_PORT, LAST_PORT + 1)
    if (returnedPorts.has(port) || !await isFree(port)) continue
    returnedPorts.add(port)
    return port
  }
}

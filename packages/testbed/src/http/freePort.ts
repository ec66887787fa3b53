import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'

/** A port of loopback that is free now. */
export const freePort = (): Promise<number> => new Promise((resolve, reject) => {
  const server = createServer()
  server.on('error', reject)
  server.listen(0, '127.0.0.1', () => {
    const { port } = server.address() as AddressInfo
    server.close(() => resolve(port))
  })
})

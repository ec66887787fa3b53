import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { afterEach, describe, expect, it } from 'vitest'
import { bindServer } from './bindServer.js'

const LOOPBACK = { ip: '127.0.0.1', port: 0 }

describe('bindServer', () => {
  const servers: Server[] = []

  const newServer = (): Server => {
    const server = createServer()
    servers.push(server)
    return server
  }

  afterEach(() => { for (const server of servers.splice(0)) server.close() })

  it('binds a free port and returns it', async () => {
    const { port } = await bindServer(newServer(), LOOPBACK, () => {})
    expect(port).toBeGreaterThan(0)
  })

  it('rejects if the port is in use', async () => {
    const used = await bindServer(newServer(), LOOPBACK, () => {})
    await expect(bindServer(newServer(), used, () => {})).rejects.toThrow('EADDRINUSE')
  })

  it('reports errors of an open listener, each time, instead of ending the process', async () => {
    const server = newServer()
    const errors: string[] = []
    await bindServer(server, LOOPBACK, (err) => { errors.push(err.message) })
    for (let count = 0; count < 3; count++) server.emit('error', new Error('accept failed'))
    expect(errors).toHaveLength(3)
  })
})

import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { EndpointSocket, newStopper } from './EndpointSocket.js'
import { probePath } from './probePath.js'

const HOST = '127.0.0.1'

/** What becomes of a connection that was accepted. */
const ENDS: ReadonlyArray<readonly [name: string, onSocket: (socket: Socket) => void, isOpen: boolean]> = [
  ['is kept', () => {}, true],
  ['is reset', (socket) => socket.resetAndDestroy(), false],
  ['is closed', (socket) => socket.end(), false]
]

describe('new connections to an address', () => {
  let server: Server | undefined

  afterEach(() => { server?.close() })

  const listen = async (onSocket: (socket: Socket) => void): Promise<number> => {
    server = createServer((socket) => {
      socket.on('error', () => {})
      onSocket(socket)
    })
    await new Promise<void>((resolve) => server!.listen(0, HOST, resolve))
    return (server.address() as AddressInfo).port
  }

  it.each(ENDS)('reach it only if what was accepted %s', async (_name, onSocket, isOpen) => {
    const port = await listen(onSocket)
    expect(await probePath(HOST, port)).toBe(isOpen ? 'listening' : 'refused')
  })

  it('do not reach it if nothing listens', async () => {
    const port = await listen(() => {})
    await new Promise((resolve) => server!.close(resolve))
    expect(await probePath(HOST, port)).toBe('refused')
  })

  it.each(ENDS)('are reported as open only if what was accepted %s', async (_name, onSocket, isOpen) => {
    const port = await listen(onSocket)
    const socket = new EndpointSocket(`http://${HOST}:${port}`)
    const reported = new Promise<boolean>((resolve) => { socket.onConnected(resolve) })
    void socket.exchange({ method: 'GET', path: '/', headers: {} }, { onStart: () => {}, onData: () => {} }, newStopper())
    expect(await reported).toBe(isOpen)
    socket.close()
  })
})

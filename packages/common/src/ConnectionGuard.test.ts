import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { ConnectionGuard } from './ConnectionGuard.js'
import type { ConnectionGuardOptions } from './ConnectionGuard.js'
import { SystemClock } from './SystemClock.js'
import { millis } from './units.js'

const clock = new SystemClock()
const MAX = 3
/** Longer than the period in which connections are looked at. */
const LOOK = millis(300)

describe('ConnectionGuard', () => {
  let server: Server
  let guard: ConnectionGuard
  const accepted: Socket[] = []
  const clients: Socket[] = []

  afterEach(() => {
    for (const socket of [...clients.splice(0), ...accepted.splice(0)]) socket.destroy()
    server.close()
  })

  const listen = async (options: Partial<ConnectionGuardOptions> = {}): Promise<void> => {
    server = createServer((socket) => { accepted.push(socket.on('error', () => {}).resume()) })
    guard = new ConnectionGuard({ clock, max: MAX, maxPerSource: MAX, isBusy: () => false, onClosed: () => {}, ...options })
    guard.watch(server)
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  }

  const open = async (localAddress = '127.0.0.1'): Promise<Socket> => {
    const count = accepted.length
    const socket = connect({ port: (server.address() as AddressInfo).port, host: '127.0.0.1', localAddress }).on('error', () => {})
    clients.push(socket)
    while (accepted.length === count) await clock.sleep(millis(1))
    return socket
  }

  const openAll = async (count: number): Promise<void> => { for (let at = 0; at < count; at++) await open() }

  const openServerSides = (): readonly boolean[] => accepted.map(({ destroyed }) => !destroyed)

  // Guards against silent connections that take all descriptors of the process.
  it('closes the connection that has been silent for longest to make room for a new one', async () => {
    await listen()
    await openAll(MAX)
    await clock.sleep(LOOK)
    clients[0]!.write('x')
    await clock.sleep(LOOK)
    await open()
    expect(openServerSides()).toEqual([true, false, true, true])
    expect(guard.size).toBe(MAX)
  })

  // Guards against clients between two requests that lose their connections to ones that have never asked for anything.
  it('closes a connection without a request before one that has carried some', async () => {
    await listen()
    await openAll(MAX)
    guard.noteServed(accepted[0]!)
    await clock.sleep(LOOK)
    await open()
    expect(openServerSides()).toEqual([true, false, true, true])
  })

  it('closes the new connection if all others carry a request', async () => {
    let closed = 0
    await listen({ isBusy: () => true, onClosed: (count) => { closed += count } })
    await openAll(MAX + 1)
    expect(openServerSides()).toEqual([true, true, true, false])
    expect(closed).toBe(1)
  })

  // Guards against one address that takes the connections of all others.
  it('closes connections of the same address where that has too many', async () => {
    await listen({ max: 100 })
    await open('127.0.0.2')
    await openAll(MAX + 2)
    expect(openServerSides()).toEqual([true, false, false, true, true, true])
  })

  it('counts a connection no longer once it has closed', async () => {
    await listen()
    await openAll(MAX)
    for (const socket of clients) socket.destroy()
    while (guard.size > 0) await clock.sleep(millis(1))
    await openAll(MAX)
    expect(openServerSides().slice(MAX)).toEqual([true, true, true])
  })
})

import { brand, EndlessSender, SeededRandom, SystemClock } from '@papayahill/common'
import { Trace } from '@papayahill/invariants'
import type { Order } from '@papayahill/orders'
import { FakeEndpoint, serveEndpoint } from '@papayahill/standins'
import type { EndpointServer } from '@papayahill/standins'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { HttpOrderChannel } from './HttpOrderChannel.js'

const clock = new SystemClock()

type Listed = ConstructorParameters<typeof FakeEndpoint>[0]['listed']

describe('HttpOrderChannel', () => {
  const channel = new HttpOrderChannel(clock)
  let server: EndpointServer

  const start = async (checksFencing: boolean): Promise<Listed> => {
    const listed: Listed = {
      id: brand('assistant-1'), service: brand('assistant'), version: brand('v1'), domain: brand('scl-a'), address: { ip: '127.0.0.1', port: 0 }, state: 'live'
    }
    const endpoint = new FakeEndpoint({ clock, random: new SeededRandom(1), trace: new Trace(), listed, kind: 'engine' })
    server = await serveEndpoint({ endpoint, clock, checksFencing })
    return { ...listed, address: { ip: '127.0.0.1', port: server.server.port } }
  }

  const order = (fence: number): Order => ({
    endpoint: brand('assistant-1'), action: { kind: 'load-version', version: brand('v2') }, fence
  })

  afterEach(async () => { await server.close() })

  it('delivers an action with its fencing token', async () => {
    const listed = await start(true)
    expect((await channel.deliver(listed, order(4))).isOk).toBe(true)
    expect(server.orders).toEqual([{ action: { kind: 'load-version', version: 'v2' }, fence: 4 }])
  })

  it('reports a rejected old fencing token, and delivers it if the endpoint does not check', async () => {
    const checking = await start(true)
    await channel.deliver(checking, order(4))
    const late = await channel.deliver(checking, order(3))
    expect(late.isErr && late.error.kind).toBe('old-fence')
    await server.close()
    const ignoring = await start(false)
    await channel.deliver(ignoring, order(4))
    expect((await channel.deliver(ignoring, order(3))).isOk).toBe(true)
  })

  it('does not take an answer that the endpoint writes again for the answer to a later order', async () => {
    const REJECTED = 'HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n'
    const DONE = 'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
    const listed = await start(true)
    const repeating = createServer((socket) => {
      let turn = 0
      socket.on('error', () => {})
      socket.on('data', (data) => {
        const own = data.toString().includes('"fence":3') ? REJECTED : DONE
        socket.write(++turn === 1 ? own : REJECTED)
      })
    })
    await new Promise<void>((resolve) => repeating.listen(0, '127.0.0.1', resolve))
    const { port } = repeating.address() as AddressInfo
    const endpoint = { ...listed, address: { ip: '127.0.0.1', port } }
    for (let at = 0; at < 3; at++) expect((await channel.deliver(endpoint, order(3))).isErr).toBe(true)
    for (let at = 0; at < 3; at++) expect((await channel.deliver(endpoint, order(4))).isOk).toBe(true)
    repeating.close()
  })

  it('reports an endpoint that refuses the connection as unreachable', async () => {
    const listed = await start(true)
    await server.close()
    const unreached = await channel.deliver(listed, order(5))
    expect(unreached.isErr && unreached.error.kind).toBe('unreachable')
  })

  // Guards against an endpoint that is read for as long as it sends, in the part of an answer before its final status.
  it('ends the connection to an endpoint that answers without end, and does not know what became of the order', async () => {
    const MAX_MILLIS = 2000
    const listed = await start(true)
    const sender = new EndlessSender('', 'HTTP/1.1 103 Early Hints\r\n\r\n')
    const endless = createServer((socket) => {
      socket.on('error', () => {})
      socket.once('data', () => sender.send(socket))
    })
    await new Promise<void>((resolve) => endless.listen(0, '127.0.0.1', resolve))
    const startedAt = performance.now()
    const answer = await channel.deliver({ ...listed, address: { ip: '127.0.0.1', port: (endless.address() as AddressInfo).port } }, order(3))
    expect(answer.isErr && answer.error.kind).toBe('unknown')
    expect(performance.now() - startedAt).toBeLessThan(MAX_MILLIS)
    endless.close()
  })
})

import { brand, EventRecorder, SeededRandom, SystemClock } from '@papayahill/common'
import { connect } from 'node:net'
import { describe, expect, it } from 'vitest'
import { createApp, sendText } from './createApp.js'
import { listenOn } from './listenOn.js'
import { RequestIds } from './RequestIds.js'

const clock = new SystemClock()

describe('closing a listener', () => {
  it('lets running answers finish and then closes their connections, including keep-alive ones', async () => {
    let end = (): void => {}
    const log = new EventRecorder(clock)
    const ids = new RequestIds(brand('ph-1'), new SeededRandom(1))
    const app = createApp({
      ids,
      log,
      routes: [{
        method: 'GET',
        path: '/slow',
        handle: (exchange) => {
          exchange.res.write('begun ')
          end = () => { exchange.res.end('ended') }
        }
      }, { method: 'GET', path: '/quick', handle: (exchange) => sendText(exchange, 200, 'done') }]
    })
    const listener = await listenOn({ app, address: { ip: '127.0.0.1', port: 0 }, connections: 8, headerBytes: 4096, ids, log })
    const origin = `http://127.0.0.1:${listener.port}`
    expect(await (await fetch(`${origin}/quick`)).text()).toBe('done')
    const slow = await fetch(`${origin}/slow`)
    const endSlow = end
    let isClosed = false
    const late = await fetch(`${origin}/slow`)
    const endLate = end
    const closed = listener.close().then(() => { isClosed = true })
    await clock.sleep(50 as never)
    expect(isClosed).toBe(false)
    endSlow()
    expect(await slow.text()).toBe('begun ended')
    endLate()
    expect(await late.text()).toBe('begun ended')
    await expect.poll(() => isClosed, { timeout: 3000 }).toBe(true)
    await closed
    await expect(fetch(`${origin}/quick`)).rejects.toThrow()
  })

  // Guards against a request that had arrived, but not been read by a process that was late, when its connection was closed.
  it('answers what arrived on a kept connection while the event loop was blocked', async () => {
    const BLOCKED = 50
    const log = new EventRecorder(clock)
    const ids = new RequestIds(brand('ph-1'), new SeededRandom(1))
    const app = createApp({ ids, log, routes: [{ method: 'GET', path: '/quick', handle: (exchange) => sendText(exchange, 200, 'done') }] })
    const listener = await listenOn({ app, address: { ip: '127.0.0.1', port: 0 }, connections: 8, headerBytes: 4096, ids, log })
    const socket = connect({ host: '127.0.0.1', port: listener.port })
    let received = ''
    socket.on('data', (part: Buffer) => { received += part.toString() })
    const request = 'GET /quick HTTP/1.1\r\nhost: a\r\n\r\n'
    socket.write(request)
    await expect.poll(() => received).toContain('done')
    received = ''
    const closed = new Promise((resolve) => { setTimeout(() => resolve(listener.close()), BLOCKED / 2) })
    // Timers are due before what arrives is read only if the loop is blocked after it has read.
    await new Promise(setImmediate)
    socket.write(request)
    const blockedUntil = clock.now() + BLOCKED
    while (clock.now() < blockedUntil);
    await Promise.all([closed, new Promise((resolve) => socket.once('close', resolve))])
    expect(received).toContain('done')
  })
})

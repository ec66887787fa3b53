import { brand, EventRecorder, millis, SeededRandom, SystemClock, seconds } from '@papayahill/common'
import type { DomainId, Incarnation, InstanceId } from '@papayahill/common'
import { Result } from 'true-myth'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { WebSocket } from 'ws'
import { MAX_FRAME_BYTES } from './constants.js'
import { PeerLinks } from './PeerLinks.js'
import type { ListedPeer, PeerList } from './transport.js'

const clock = new SystemClock()
const opened: PeerLinks[] = []

/** Starts an instance on a free port and adds it to the list that all read. */
const open = async (id: string, listed: ListedPeer[], secret = 'salt') => {
  const events = new EventRecorder(clock)
  const list: PeerList = { list: () => Promise.resolve(Result.ok({ instances: listed }) as never) }
  const links = new PeerLinks({
    self: brand<InstanceId>(id),
    incarnation: brand<Incarnation>(`${id}#1`),
    domain: brand<DomainId>('d1'),
    clock,
    random: new SeededRandom(listed.length),
    secret,
    listen: { ip: '127.0.0.1', port: 0 },
    list,
    log: events
  })
  opened.push(links)
  await links.start()
  const address = links.address!
  listed.push({ id: links.self, address })
  return { links, events, port: address.port }
}

const pairOf = async (secret = 'salt') => {
  const listed: ListedPeer[] = []
  const first = await open('i0', listed)
  return { first, second: await open('i1', listed, secret), port: first.port }
}

const until = (check: () => boolean): Promise<void> => vi.waitFor(() => expect(check()).toBe(true), { timeout: 10_000, interval: 20 })

describe('PeerLinks', () => {
  afterEach(async () => {
    await Promise.all(opened.splice(0).map((links) => links.close()))
  })

  it('links two instances that share the secret, and carries requests and entries', async () => {
    const { first, second } = await pairOf()
    await until(() => first.links.members().length === 1 && second.links.members().length === 1)
    second.links.handle('claim', (_from, message) => ({ received: message }))
    const answer = await first.links.ask(second.links.self, 'claim', { n: 1 }, millis(5000))
    expect(answer.unwrapOr(null)).toEqual({ received: { n: 1 } })
    first.links.publish('latch', 'd1', 'out')
    await until(() => second.links.entries('latch').length === 1)
  })

  it('rejects an instance with another secret and logs it', async () => {
    const { first, second } = await pairOf('pepper')
    await until(() => [...first.events.records, ...second.events.records].some((record) => record.kind.name === 'secretWrong'))
    expect(first.links.members()).toEqual([])
    expect(second.links.members()).toEqual([])
  })

  it('survives clients that send malformed data, or nothing', async () => {
    const { first, second, port } = await pairOf()
    const stranger = new WebSocket(`ws://127.0.0.1:${port}`)
    stranger.on('error', () => {})
    await new Promise((resolve) => stranger.once('open', resolve))
    stranger.send('{"identity":1}')
    const silent = new WebSocket(`ws://127.0.0.1:${port}`)
    silent.on('error', () => {})
    await until(() => stranger.readyState === WebSocket.CLOSED)
    await until(() => first.links.members().length === 1 && second.links.members().length === 1)
    silent.terminate()
  })

  it('drops a message that exceeds the maximum frame size, and keeps the link', async () => {
    const { first, second } = await pairOf()
    await until(() => first.links.members().length === 1)
    first.links.send(second.links.self, 'cost', 'x'.repeat(MAX_FRAME_BYTES + 1))
    expect(first.events.records.map((record) => record.kind.name)).toContain('frameTooLarge')
    second.links.handle('claim', () => 'still here')
    const answer = await first.links.ask(second.links.self, 'claim', {}, millis(5000))
    expect(answer.unwrapOr(null)).toBe('still here')
  })

  // Guards against an instance that waits for the answer to what was never sent.
  it('ends what is asked by such a message at once', async () => {
    const { first, second } = await pairOf()
    await until(() => first.links.members().length === 1)
    const answer = await first.links.ask(second.links.self, 'cost', 'x'.repeat(MAX_FRAME_BYTES + 1), seconds(60))
    expect(answer.isErr && answer.error.kind).toBe('unreachable')
  })
})

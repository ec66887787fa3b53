import { brand, ITEM_COST, SILENT_LOG, SystemClock } from '@papayahill/common'
import type { DomainId, Incarnation, InstanceId } from '@papayahill/common'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { MAX_BUFFERED_BYTES } from './constants.js'
import type { Frame } from './frames.js'
import type { Link, PeerAddress } from './transport.js'
import { WsTransport } from './WsTransport.js'

const HEARTBEAT: Frame = { kind: 'heartbeat' }
const MANY = 100_000

describe('a link', () => {
  const transports: WsTransport[] = []
  afterEach(async () => { for (const transport of transports.splice(0)) await transport.close() })

  const transportOf = (id: string): WsTransport => {
    const identity = (address: PeerAddress) => ({
      id: brand<InstanceId>(id), incarnation: brand<Incarnation>(`${id}@1`), domain: brand<DomainId>('hall-1'), address
    })
    const transport = new WsTransport({
      identity, secret: 'secret', listen: { ip: '127.0.0.1', port: 0 }, clock: new SystemClock(), log: SILENT_LOG
    })
    transports.push(transport)
    return transport
  }

  /** Both ends of a link, with the frames that the accepting one has received. */
  const openLink = async (): Promise<{ readonly dialled: Link, readonly received: Frame[] }> => {
    const received: Frame[] = []
    const address = await transportOf('i1').listen((link) => link.onFrame((frame) => received.push(frame)))
    return { dialled: (await transportOf('i2').dial(address))!, received }
  }

  /** Sends many heartbeats in one turn; the number of those that the link took. */
  const sendMany = (link: Link): number => Array.from({ length: MANY }, () => link.send(HEARTBEAT)).filter((size) => size > 0).length

  // Guards against small frames for a peer that does not read, whose objects take far more memory than the bytes that are counted.
  it('holds few frames that are not sent, however small they are', async () => {
    const { dialled } = await openLink()
    expect(sendMany(dialled)).toBeLessThanOrEqual(MAX_BUFFERED_BYTES / ITEM_COST + 1)
  })

  it('takes frames again once those are sent, and loses none that it took', async () => {
    const { dialled, received } = await openLink()
    const first = sendMany(dialled)
    await vi.waitFor(() => expect(received.length).toBe(first), { timeout: 10_000 })
    expect(sendMany(dialled)).toBe(first)
  })
})

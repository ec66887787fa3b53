import { brand, millis, SeededRandom, SILENT_LOG, SystemClock } from '@papayahill/common'
import type { DomainId, Incarnation, InstanceId } from '@papayahill/common'
import { afterEach, describe, expect, it } from 'vitest'
import { LinkTable } from './LinkTable.js'
import { TrafficMeter } from './TrafficMeter.js'
import type { Link, PeerAddress, Transport } from './transport.js'
import { WsTransport } from './WsTransport.js'

const PEER = brand<InstanceId>('i2')
const ADDRESS: PeerAddress = { ip: '127.0.0.1', port: 7740 }

describe('a dial that meets an error', () => {
  it('does not keep the peer from being dialled again', async () => {
    let dials = 0
    const dial = (): Promise<Link | undefined> => ++dials === 1 ? Promise.reject(new Error('unexpected')) : Promise.resolve(undefined)
    const transport: Transport = { dial, listen: () => Promise.resolve(ADDRESS), close: () => Promise.resolve() }
    const links = new LinkTable({
      self: brand<InstanceId>('i1'),
      clock: new SystemClock(),
      random: new SeededRandom(1),
      transport,
      meter: new TrafficMeter(),
      reads: { readUntil: millis(0) },
      onOpen: () => {},
      onClose: () => {},
      onFrame: () => {}
    })
    links.addAddress(PEER, ADDRESS)
    await links.open(PEER, false).catch(() => {})
    await links.open(PEER, false).catch(() => {})
    expect(dials).toBe(2)
  })
})

describe('instances with IPv6 addresses', () => {
  const transports: WsTransport[] = []
  afterEach(async () => { for (const transport of transports.splice(0)) await transport.close() })

  const transportOf = (id: string): WsTransport => {
    const identity = (address: PeerAddress) => ({
      id: brand<InstanceId>(id), incarnation: brand<Incarnation>(`${id}@1`), domain: brand<DomainId>('hall-1'), address
    })
    const transport = new WsTransport({ identity, secret: 'secret', listen: { ip: '::1', port: 0 }, clock: new SystemClock(), log: SILENT_LOG })
    transports.push(transport)
    return transport
  }

  it('can link to each other', async () => {
    const address = await transportOf('i1').listen(() => {})
    const link = await transportOf('i2').dial(address)
    expect(link?.peer.id).toBe('i1')
  })
})

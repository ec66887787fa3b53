import { brand, millis } from '@papayahill/common'
import type { EndpointId, ServiceId } from '@papayahill/common'
import { Endpoint } from '@papayahill/directory'
import { describe, expect, it } from 'vitest'
import { ConnectionPool } from './ConnectionPool.js'

const newEndpoint = (id: string): Endpoint => new Endpoint({
  id: brand<EndpointId>(id),
  service: brand<ServiceId>('orders'),
  address: { ip: '127.0.0.1', port: 1 },
  domain: brand('hall-1'),
  version: 'v1',
  slots: 4,
  isDraining: false,
  coldFor: millis(0),
  sequence: 1,
  startedAt: undefined
})

const rig = () => {
  const listeners: Array<(endpoint: Endpoint, isRestart: boolean) => void> = []
  const pool = new ConnectionPool({
    directory: { onGone: (listener) => { listeners.push(listener) } },
    profileOf: () => undefined,
    partitioner: { shareOf: () => 4, forget: () => {} },
    onConnected: () => {}
  })
  const leave = (endpoint: Endpoint): void => {
    endpoint.isGone = true
    for (const listener of listeners) listener(endpoint, false)
  }
  return { pool, leave }
}

describe('ConnectionPool', () => {
  it('does not keep endpoints whose calls end after they are gone', () => {
    const { pool, leave } = rig()
    for (let at = 0; at < 50; at++) {
      const endpoint = newEndpoint(`e${at}`)
      const socket = pool.acquire(endpoint)!
      leave(endpoint)
      pool.release(endpoint, socket)
    }
    expect(pool.endpointCount).toBe(0)
    expect(pool.size).toBe(0)
  })

  it('does not give an incarnation the connections of an earlier one', () => {
    const { pool, leave } = rig()
    const endpoint = newEndpoint('e1')
    const successor = newEndpoint('e1')
    const socket = pool.acquire(endpoint)!
    const other = pool.acquire(successor)!
    pool.release(successor, other)
    leave(endpoint)
    pool.release(endpoint, socket)
    expect(pool.acquire(successor)).toBe(other)
    expect(pool.size).toBe(1)
  })
})

import { brand, millis, SILENT_LOG } from '@papayahill/common'
import type { Clock, DomainId, EndpointId, Random, ServiceId } from '@papayahill/common'
import { Endpoint } from '@papayahill/directory'
import { chooseLeastLoaded, chooseSoonest } from '@papayahill/forwarding'
import type { PlacementCriteria } from '@papayahill/forwarding'
import { EndpointPerformance } from '@papayahill/performance'
import type { Work } from '@papayahill/performance'
import { SLOTS } from './SimulatedServer.js'
import type { SimulatedServer } from './SimulatedServer.js'

/** How instances choose: as learnt, or by simpler rules; `all-knowing` is one dispatcher that sees all endpoints as they are. */
export type UnevenPolicy = 'learnt' | 'all-knowing' | 'round-robin' | 'least-in-flight' | 'before'

const DOMAIN = brand<DomainId>('hall')
const WORK: Work = { kind: 'plain', key: 'order', amount: 1 }
const NO_EXCLUSIONS: ReadonlySet<EndpointId> = new Set()

export interface SimulatedInstance {
  /** Sends one call; `onEnd` is called with its answer. */
  call (onEnd: () => void): void
}

export interface InstanceOptions {
  readonly clock: Clock
  readonly random: Random
  readonly servers: readonly SimulatedServer[]
  readonly policy: UnevenPolicy
}

const newEndpoint = (at: number): Endpoint => new Endpoint({
  id: brand<EndpointId>(`e${at}`),
  service: brand<ServiceId>('orders'),
  address: { ip: '10.0.0.1', port: 1 + at },
  domain: DOMAIN,
  version: 'v1',
  slots: SLOTS,
  isDraining: false,
  coldFor: millis(0),
  sequence: 1,
  startedAt: undefined
})

const lowest = <Item extends object>(random: Random, items: readonly Item[], costOf: (item: Item) => number): Item => {
  let [best, bestCost] = [items[0]!, Infinity]
  for (const item of items) {
    const cost = costOf(item) + random.next() * 1e-3
    if (cost < bestCost) [best, bestCost] = [item, cost]
  }
  return best
}

/** One instance with its own view of the endpoints. */
export const newInstance = ({ clock, random, servers, policy }: InstanceOptions): SimulatedInstance => {
  const endpoints = servers.map((_server, at) => newEndpoint(at))
  const performance = new EndpointPerformance({ clock, log: SILENT_LOG })
  let turn = random.below(endpoints.length)
  const isLearnt = policy === 'learnt'
  const soonest = (): Endpoint | undefined =>
    performance.isActive(endpoints) ? chooseSoonest(random, performance, criteria()) : chooseLeastLoaded(random, criteria())
  const criteria = (): PlacementCriteria =>
    ({ endpoints, exclude: NO_EXCLUSIONS, prompt: undefined, domain: DOMAIN, inputBytes: new Map(), now: clock.now() })
  const serverOf = (endpoint: Endpoint): SimulatedServer => servers[endpoints.indexOf(endpoint)]!
  const choosers: Readonly<Record<UnevenPolicy, () => Endpoint | undefined>> = {
    learnt: soonest,
    'all-knowing': () => lowest(random, endpoints, (endpoint) => serverOf(endpoint).expectedTime),
    'round-robin': () => endpoints[turn++ % endpoints.length],
    'least-in-flight': () => lowest(random, endpoints, ({ running }) => running),
    before: () => chooseLeastLoaded(random, criteria())
  }
  return {
    call: (onEnd) => {
      const endpoint = choosers[policy]()!
      const server = serverOf(endpoint)
      const startedAt = clock.now()
      const start = isLearnt ? performance.begin(endpoint) : undefined
      endpoint.running++
      server.call(() => {
        endpoint.load = server.report(endpoint.running)
        endpoint.running--
        if (start !== undefined) performance.record(endpoint, start, WORK, millis(clock.now() - startedAt))
        onEnd()
      })
    }
  }
}

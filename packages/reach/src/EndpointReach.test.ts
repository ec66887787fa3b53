import { brand, epochMillis, EventRecorder, millis, seconds, SILENT_LOG, VirtualClock } from '@papayahill/common'
import type { DomainId, EndpointId, Incarnation, InstanceId, Json, ServiceId } from '@papayahill/common'
import { EndpointDirectory } from '@papayahill/directory'
import type { Endpoint, EndpointRecord } from '@papayahill/directory'
import type { GossipEntry, PeerMember } from '@papayahill/peers'
import { describe, expect, it } from 'vitest'
import { EndpointReach } from './EndpointReach.js'
import { REACH_EVENTS } from './events.js'
import type { ProbeResult } from './types.js'

const SERVICES = ['orders', 'search', 'stages'].map((name) => brand<ServiceId>(name))
const [ORDERS, SEARCH] = SERVICES as [ServiceId, ServiceId]
const ROUND_TRIP = millis(1)
const CONNECT_TIMEOUT = millis(500)

type PathState = 'open' | 'hangs' | 'refuses'

const recordOf = (service: ServiceId, at: number, life = 1): EndpointRecord => ({
  id: brand<EndpointId>(`${service}-${at}`),
  service,
  address: { ip: '10.0.0.1', port: at },
  domain: brand<DomainId>('hall'),
  version: 'v1',
  slots: 1,
  isDraining: false,
  coldFor: millis(0),
  sequence: 1,
  startedAt: epochMillis(life)
})

/** One instance among peers that can be made to tell anything, and endpoints whose paths can be cut. */
class ReachRig {
  readonly clock = new VirtualClock()
  readonly log = new EventRecorder(this.clock)
  readonly directory = new EndpointDirectory({ clock: this.clock, log: SILENT_LOG, isDomainOut: () => false })
  readonly members: PeerMember[]
  readonly published: Json[] = []
  readonly changes: Array<readonly [service: ServiceId, isReached: boolean]> = []
  readonly lostPaths: string[] = []
  readonly idle = new Set<EndpointId>()
  readonly reach: EndpointReach
  probes = 0
  openProbes = 0
  mostOpenProbes = 0
  #state: (endpoint: Endpoint) => PathState = () => 'open'
  #onEntry: (entry: GossipEntry) => void = () => {}

  constructor ({ services = SERVICES, endpoints = 6, instances = 3 } = {}) {
    this.list(services.flatMap((service) => Array.from({ length: endpoints }, (_none, at) => recordOf(service, at))))
    this.members = Array.from({ length: instances - 1 }, (_none, at) => ({
      id: brand<InstanceId>(`p${at}`), incarnation: brand<Incarnation>(`p${at}#1`), domain: brand<DomainId>('hall'), silence: millis(0)
    }))
    this.reach = new EndpointReach({
      clock: this.clock,
      log: this.log,
      directory: this.directory,
      peers: {
        self: brand<InstanceId>('self'),
        members: () => this.members,
        publish: (_topic, _key, value) => { this.published.push(value) },
        entries: () => [],
        onEntry: (_topic, listener) => { this.#onEntry = listener }
      },
      probe: (endpoint) => this.#probe(endpoint),
      hasIdle: ({ id }) => this.idle.has(id)
    })
    this.reach.onChange((service, isReached) => this.changes.push([service, isReached]))
    this.reach.onPathLost(({ id }) => this.lostPaths.push(id))
  }

  list (records: readonly EndpointRecord[]): void {
    this.directory.changed(records.map((record) => ({ key: record.id, value: { record }, revision: 1 })), millis(0))
  }

  endpoint (service: ServiceId, at: number): Endpoint {
    return this.directory.get(brand<EndpointId>(`${service}-${at}`))!
  }

  /** Sets the state of the paths. */
  set (state: PathState | ((endpoint: Endpoint) => PathState)): void {
    this.#state = typeof state === 'string' ? () => state : state
  }

  /** A peer tells which services it does not reach. */
  tell (peer: number, incarnation: number, services: readonly string[]): void {
    const owner = brand<InstanceId>(`p${peer}`)
    this.#onEntry({ topic: 'reach', key: 'own', owner, incarnation: brand<Incarnation>(`${owner}#${incarnation}`), sequence: 1, value: [...services] })
  }

  /** One call: answered after 20 ms, silent, or without a connection. */
  call (endpoint: Endpoint): void {
    const state = this.#state(endpoint)
    if (state === 'refuses') return this.reach.noteNoContact(endpoint)
    if (state === 'open') this.clock.after(millis(20), () => this.reach.noteContact(endpoint))
    else this.clock.after(millis(300), () => { if (this.#state(endpoint) === 'hangs') this.reach.noteSilence(endpoint) })
  }

  /** Calls to endpoints in turn, 7 a second. */
  async traffic (span: number): Promise<void> {
    const all = this.directory.services.flatMap((service) => [...this.directory.usable(service)])
    for (let at = 0; at * 143 < span; at++) {
      this.call(all[(at * 5) % all.length]!)
      await this.clock.advance(millis(143))
    }
  }

  get reached (): readonly boolean[] {
    return this.directory.services.map((service) => this.reach.reaches(service))
  }

  count (number: number): number {
    return this.log.records.filter(({ kind }) => kind.number === number).length
  }

  async #probe (endpoint: Endpoint): Promise<ProbeResult> {
    this.probes++
    this.openProbes++
    this.mostOpenProbes = Math.max(this.mostOpenProbes, this.openProbes)
    const state = this.#state(endpoint)
    await this.clock.sleep(state === 'hangs' ? CONNECT_TIMEOUT : ROUND_TRIP)
    this.openProbes--
    if (state === 'hangs') return 'unknown'
    return state === 'open' ? 'listening' : 'refused'
  }
}

describe('EndpointReach', () => {
  describe('while all paths are sound', () => {
    it('opens no probe for calls that are answered', async () => {
      const rig = new ReachRig()
      await rig.traffic(10_000)
      expect(rig.probes).toBe(0)
      expect(rig.published).toEqual([])
    })

    it('takes the silence of sound endpoints for nothing', async () => {
      const rig = new ReachRig()
      for (let at = 0; at < 4; at++) {
        for (const service of SERVICES) rig.reach.noteSilence(rig.endpoint(service, at))
        await rig.clock.advance(millis(300))
      }
      expect(rig.reached).toEqual([true, true, true])
      expect(rig.directory.healthy(ORDERS).length).toBe(6)
      expect(rig.lostPaths).toEqual([])
    })

    it('avoids an endpoint that accepts connections only once it has been silent for far longer than a sound one', async () => {
      const rig = new ReachRig()
      const endpoint = rig.endpoint(ORDERS, 0)
      const suspected: number[] = []
      for (let at = 0; at < 10; at++) {
        rig.reach.noteHang(endpoint)
        if (endpoint.isSuspect(rig.clock.now())) suspected.push(rig.clock.now())
        await rig.clock.advance(millis(300))
      }
      expect(suspected[0]).toBe(2100)
    })
  })

  describe('a cut from all endpoints', () => {
    const CUTS: readonly PathState[] = ['hangs', 'refuses']

    it.each(CUTS)('is found within 2 s with 7 requests a second, while connections to it: %s', async (state) => {
      const rig = new ReachRig()
      await rig.traffic(3000)
      rig.set(state)
      await rig.traffic(2000)
      expect(rig.reached).toEqual([false, false, false])
      expect(rig.published.at(-1)).toEqual([...SERVICES])
      expect(rig.mostOpenProbes).toBeLessThanOrEqual(12)
    })

    it.each([1, 2])('is found with services of %i endpoint', async (endpoints) => {
      const rig = new ReachRig({ endpoints })
      await rig.traffic(1000)
      rig.set('hangs')
      await rig.traffic(2000)
      expect(rig.reached).toEqual([false, false, false])
    })

    it.each(CUTS)('is over for all services within a second after the heal, though nothing is sent, after: %s', async (state) => {
      const rig = new ReachRig()
      await rig.traffic(1000)
      rig.set(state)
      await rig.traffic(8000)
      rig.set('open')
      await rig.clock.advance(millis(1000))
      expect(rig.reached).toEqual([true, true, true])
      expect(rig.published.at(-1)).toEqual([])
      expect(SERVICES.every((service) => rig.directory.healthy(service).length === 6)).toBe(true)
      const { probes } = rig
      await rig.traffic(5000)
      expect(rig.probes).toBe(probes)
    })

    it('is probed at a bounded rate while it lasts', async () => {
      const rig = new ReachRig()
      rig.set('hangs')
      await rig.traffic(3000)
      const { probes } = rig
      await rig.traffic(10_000)
      expect(rig.probes - probes).toBeLessThanOrEqual(10 * 2 * SERVICES.length)
    })

    // Guards against a probe that began during the cut and marks a path as lost after the heal.
    it('is not taken up again by probes that end after the heal', async () => {
      const rig = new ReachRig()
      await rig.traffic(1000)
      rig.set('hangs')
      await rig.traffic(4000)
      rig.set('open')
      rig.reach.noteOpened(rig.endpoint(ORDERS, 0), rig.clock.now())
      await rig.clock.advance(millis(600))
      expect(rig.reached).toEqual([true, true, true])
      const endpoints = SERVICES.flatMap((service) => rig.directory.usable(service))
      expect(endpoints.every((endpoint) => rig.reach.reachesEndpoint(endpoint))).toBe(true)
    })

    // Guards against connections from just before a cut that end the suspicion of it, so that it is never found.
    it('is found though a connection that had opened before it is reported after it', async () => {
      const rig = new ReachRig()
      await rig.traffic(1000)
      const before = rig.clock.now()
      rig.set('refuses')
      rig.reach.noteNoContact(rig.endpoint(SEARCH, 0))
      for (let at = 0; at < 3; at++) {
        await rig.clock.advance(millis(10))
        rig.reach.noteOpened(rig.endpoint(ORDERS, at), millis(before - 1))
      }
      await rig.traffic(1500)
      expect(rig.reached).toEqual([false, false, false])
    })

    it('is found once all endpoints have failed one after the other', async () => {
      const rig = new ReachRig()
      const failed = new Set<Endpoint>()
      rig.set((endpoint) => failed.has(endpoint) ? 'refuses' : 'open')
      for (const endpoint of SERVICES.flatMap((service) => rig.directory.usable(service))) {
        failed.add(endpoint)
        rig.call(endpoint)
        await rig.clock.advance(millis(50))
      }
      await rig.clock.advance(millis(600))
      expect(rig.reached).toEqual([false, false, false])
    })

    it('is not found where no endpoint is usable', async () => {
      const rig = new ReachRig({ services: [ORDERS], endpoints: 1 })
      const endpoint = rig.endpoint(ORDERS, 0)
      rig.set('refuses')
      rig.list([{ ...recordOf(ORDERS, 0), isDraining: true, sequence: 2 }])
      rig.reach.noteNoContact(endpoint)
      await rig.clock.advance(seconds(2))
      expect(rig.reach.reaches(ORDERS)).toBe(true)
    })

    it('is told once to the peers and logged with its evidence', async () => {
      const rig = new ReachRig()
      await rig.traffic(1000)
      rig.set('hangs')
      await rig.traffic(10_000)
      expect(rig.published.length).toBe(1)
      expect(rig.count(REACH_EVENTS.serviceUnreached.number)).toBe(3)
      const first = rig.log.records.find(({ kind }) => kind === REACH_EVENTS.serviceUnreached)
      expect(first?.fields).toMatchObject({ service: ORDERS, endpoints: 6 })
    })

    it('ends the calls in progress on paths without contact', async () => {
      const rig = new ReachRig()
      rig.set('hangs')
      await rig.traffic(2000)
      expect(new Set(rig.lostPaths).size).toBe(18)
    })
  })

  describe('new connections that are refused while old ones live on', () => {
    it('reaches no service for new work, but the endpoints with an idle connection that carried bytes', async () => {
      const rig = new ReachRig()
      const old = rig.endpoint(ORDERS, 0)
      rig.idle.add(old.id)
      rig.set('refuses')
      for (let at = 0; at < 10; at++) {
        rig.reach.noteContact(old)
        rig.call(rig.endpoint(SEARCH, at % 6))
        await rig.clock.advance(millis(143))
      }
      rig.reach.noteContact(old)
      expect(rig.reached).toEqual([false, false, false])
      expect(rig.reach.reachesEndpoint(old)).toBe(true)
      expect(rig.reach.reachesEndpoint(rig.endpoint(ORDERS, 1))).toBe(false)
    })

    // Guards against batches that are given up on connections that live on.
    it('ends the calls in progress only once they are silent', async () => {
      const rig = new ReachRig()
      rig.set('refuses')
      await rig.traffic(2000)
      expect(rig.lostPaths).toEqual([])
      const silent = rig.endpoint(ORDERS, 0)
      rig.reach.noteSilence(silent)
      expect(rig.lostPaths).toEqual([silent.id])
    })
  })

  describe('an endpoint that is down', () => {
    it.each(['hangs', 'refuses'] as const)('is not taken for a cut, also in light traffic, when it: %s', async (state) => {
      const rig = new ReachRig()
      const down = rig.endpoint(ORDERS, 0)
      rig.set((endpoint) => endpoint === down ? state : 'open')
      for (let at = 0; at < 5; at++) {
        rig.call(down)
        await rig.clock.advance(millis(1500))
      }
      expect(rig.changes).toEqual([])
      expect(rig.reach.reachesEndpoint(down)).toBe(false)
      expect(rig.log.records.find(({ kind }) => kind === REACH_EVENTS.pathLost)?.fields).toMatchObject({ endpoint: down.id })
      expect(rig.reach.reachesEndpoint(rig.endpoint(ORDERS, 1))).toBe(true)
      expect(rig.published).toEqual([])
    })

    it('is reached again once it accepts connections', async () => {
      const rig = new ReachRig()
      const down = rig.endpoint(ORDERS, 0)
      rig.set((endpoint) => endpoint === down ? 'refuses' : 'open')
      rig.call(down)
      await rig.clock.advance(seconds(3))
      rig.set('open')
      await rig.clock.advance(seconds(1))
      expect(rig.reach.reachesEndpoint(down)).toBe(true)
    })

    it('leaves nothing to its next incarnation', async () => {
      const rig = new ReachRig()
      const down = rig.endpoint(ORDERS, 0)
      rig.set((endpoint) => endpoint === down ? 'refuses' : 'open')
      rig.call(down)
      await rig.clock.advance(seconds(1))
      rig.list([recordOf(ORDERS, 0, 2)])
      expect(rig.reach.reachesEndpoint(rig.endpoint(ORDERS, 0))).toBe(true)
      const { probes } = rig
      await rig.clock.advance(seconds(5))
      expect(rig.probes - probes).toBeLessThanOrEqual(1)
    })
  })

  describe('a service of which all endpoints are down', () => {
    it.each(['hangs', 'refuses'] as const)('is told as not reached, and no other service with it, when they: %s', async (state) => {
      const rig = new ReachRig()
      rig.set(({ service }) => service === ORDERS ? state : 'open')
      await rig.traffic(6000)
      for (let at = 0; at < 6; at++) rig.call(rig.endpoint(ORDERS, at))
      await rig.clock.advance(seconds(2))
      expect(rig.changes).toEqual([[ORDERS, false]])
      expect(rig.published).toEqual([[ORDERS]])
      rig.set('open')
      await rig.clock.advance(seconds(1))
      expect(rig.reached).toEqual([true, true, true])
      expect(rig.published.at(-1)).toEqual([])
    })

    it('is reached again by an endpoint that is new on the list', async () => {
      const rig = new ReachRig()
      rig.set(({ service }) => service === ORDERS ? 'refuses' : 'open')
      for (let at = 0; at < 6; at++) rig.call(rig.endpoint(ORDERS, at))
      await rig.clock.advance(seconds(2))
      expect(rig.reached).toEqual([false, true, true])
      rig.list([recordOf(ORDERS, 7)])
      await rig.clock.advance(seconds(1))
      expect(rig.reached).toEqual([true, true, true])
    })

    // Guards against an instance that loses its paths to one service of several and goes on to try its endpoints in turn.
    it('is told within two seconds in light traffic', async () => {
      const rig = new ReachRig()
      await rig.traffic(1000)
      rig.set(({ service }) => service === ORDERS ? 'hangs' : 'open')
      await rig.traffic(2000)
      expect(rig.reached).toEqual([false, true, true])
    })

    it('that goes down during a cut stays unreached after the heal, as at the peers', async () => {
      const rig = new ReachRig()
      rig.set('hangs')
      await rig.traffic(3000)
      rig.set(({ service }) => service === ORDERS ? 'refuses' : 'open')
      await rig.clock.advance(seconds(2))
      expect(rig.reached).toEqual([false, true, true])
      expect(rig.reach.reachesEndpoint(rig.endpoint(ORDERS, 0))).toBe(false)
    })
  })

  describe('what peers tell', () => {
    it.each([3, 60])('excludes them for the services that they do not reach, with %i instances', (instances) => {
      const rig = new ReachRig({ instances })
      rig.tell(1, 1, [ORDERS])
      expect(rig.reach.isReachedBy(brand('p1'), ORDERS)).toBe(false)
      expect(rig.reach.isReachedBy(brand('p1'), SEARCH)).toBe(true)
      expect(rig.reach.peersReaching(ORDERS).length).toBe(instances - 2)
      rig.tell(1, 1, [])
      expect(rig.reach.peersReaching(ORDERS).length).toBe(instances - 1)
    })

    it('leaves no peer for a service that all of them do not reach either', () => {
      const rig = new ReachRig({ instances: 60 })
      rig.members.forEach((_member, at) => rig.tell(at, 1, [ORDERS]))
      expect(rig.reach.peersReaching(ORDERS)).toEqual([])
    })

    it('says nothing from an incarnation that has ended, or is not known yet, or of an instance that is no member', () => {
      const rig = new ReachRig()
      rig.tell(0, 0, [ORDERS])
      rig.tell(1, 2, [ORDERS])
      rig.tell(7, 1, [ORDERS])
      expect(rig.reach.peersReaching(ORDERS).length).toBe(2)
      expect(rig.reach.isReachedBy(brand('p7'), ORDERS)).toBe(true)
    })

    it('changes the version by which caches are kept', () => {
      const rig = new ReachRig()
      const { version } = rig.reach
      rig.tell(0, 1, [ORDERS])
      expect(rig.reach.version).not.toBe(version)
    })
  })

  describe('what lost calls show', () => {
    it.each(['hangs', 'refuses'] as const)('is dropped if this instance was cut off, while connections: %s', async (state) => {
      const rig = new ReachRig()
      let told = 0
      rig.set(state)
      for (let at = 0; at < 3; at++) {
        rig.reach.noteNoContact(rig.endpoint(ORDERS, at))
        rig.reach.judgeLoss(rig.endpoint(ORDERS, at), () => told++)
      }
      await rig.clock.advance(seconds(2))
      rig.reach.judgeLoss(rig.endpoint(SEARCH, 0), () => told++)
      rig.set('open')
      await rig.clock.advance(seconds(3))
      expect(told).toBe(0)
    })

    // Guards against calls that are late because of a cut and count as bad answers of a version before the cut is known.
    it('is dropped though a late call is the first sign that this instance was cut off', async () => {
      const rig = new ReachRig()
      let told = 0
      await rig.traffic(1000)
      await rig.clock.advance(millis(200))
      rig.set('hangs')
      rig.reach.judgeWait(rig.endpoint(ORDERS, 0), () => told++)
      await rig.traffic(3000)
      expect(told).toBe(0)
    })

    it('is told at once for a late call while bytes come from other endpoints', async () => {
      const rig = new ReachRig()
      let told = 0
      rig.reach.noteContact(rig.endpoint(SEARCH, 0))
      rig.reach.judgeWait(rig.endpoint(ORDERS, 0), () => told++)
      expect(told).toBe(1)
      expect(rig.probes).toBe(0)
    })

    it('is told within some round trips if it was the endpoint', async () => {
      const rig = new ReachRig()
      let told = 0
      rig.set((endpoint) => endpoint === rig.endpoint(ORDERS, 0) ? 'refuses' : 'open')
      rig.reach.noteNoContact(rig.endpoint(ORDERS, 0))
      rig.reach.judgeLoss(rig.endpoint(ORDERS, 0), () => told++)
      await rig.clock.advance(millis(3))
      expect(told).toBe(1)
    })

    // Guards against crashes that count nowhere where one request ends all endpoints one after the other.
    it('is told once any endpoint is back if all had really ended', async () => {
      const rig = new ReachRig({ services: [ORDERS], endpoints: 2 })
      const told: EndpointId[] = []
      rig.set('refuses')
      for (const endpoint of rig.directory.usable(ORDERS)) {
        rig.reach.noteNoContact(endpoint)
        rig.reach.judgeLoss(endpoint, () => told.push(endpoint.id))
      }
      await rig.clock.advance(seconds(1))
      expect(told).toEqual([])
      const lost = rig.directory.usable(ORDERS)
      rig.list([recordOf(ORDERS, 0, 2)])
      rig.set((endpoint) => lost.includes(endpoint) ? 'refuses' : 'open')
      await rig.clock.advance(seconds(1))
      expect(told.length).toBe(2)
    })

    it('is told by bytes of another endpoint', async () => {
      const rig = new ReachRig()
      let told = 0
      rig.set('hangs')
      rig.reach.judgeLoss(rig.endpoint(ORDERS, 0), () => told++)
      rig.reach.noteContact(rig.endpoint(SEARCH, 0))
      expect(told).toBe(0)
      await rig.clock.advance(millis(10))
      rig.reach.noteContact(rig.endpoint(SEARCH, 1))
      expect(told).toBe(1)
    })

    it('is told after the heal again', async () => {
      const rig = new ReachRig()
      let told = 0
      rig.set('refuses')
      await rig.traffic(2000)
      rig.set('open')
      await rig.clock.advance(seconds(2))
      rig.reach.judgeLoss(rig.endpoint(ORDERS, 0), () => told++)
      await rig.clock.advance(seconds(1))
      expect(told).toBe(1)
    })
  })
})

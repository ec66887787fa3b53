import { brand, millis } from '@papayahill/common'
import type { DomainId, Millis } from '@papayahill/common'
import { WORK_MODELS } from '@papayahill/standins'
import type { FakeEndpoint, WorkModel } from '@papayahill/standins'
import { ConfiguredPool } from './ConfiguredPool.js'
import { EndpointRig } from './EndpointRig.js'
import type { PoolParts } from './EndpointRig.js'
import { SIMPLE_POLICIES, SimplePool } from './SimplePool.js'
import type { Leases } from './SimplePool.js'

export type LeavingPolicy = 'papayahill' | 'roundRobin'

const DOMAINS = ['d1', 'd2', 'd3', 'd4'].map((name) => brand<DomainId>(name))
const ENDPOINTS_EACH = 2
const INSTANCES = 6
const MODEL: WorkModel = { ...WORK_MODELS.plain, callTime: millis(200) }
const CALLS_AT_ONCE = 10
const SPAN = millis(15_000)
const QUIET_START = 3500
const EVENTS_SPAN = 6000
const OUTAGE_SHARE = 0.5
const PAUSE_SHARE = 0.5
/** When every instance has its configuration, empty at first. */
const SETTLED = millis(2500)

/** When the platform began to show that an endpoint or a domain takes no new work. */
interface Stop {
  readonly shownAt: Millis
  readonly covers: (endpoint: string, domain: DomainId) => boolean
}

export interface LeavingFigures {
  readonly lastNewWorkMs: number
  readonly calls: number
}

/** Endpoints leave and domains go out while instances pause and the store is down; counted at the endpoints. */
export class LeavingRun {
  readonly #rig: EndpointRig
  readonly #stops: Stop[] = []
  readonly #listLag: Millis

  constructor (seed: number, policy: LeavingPolicy) {
    const makePool = (parts: PoolParts): Leases => policy === 'papayahill'
      ? new ConfiguredPool(parts)
      : new SimplePool({ ...parts, policy: SIMPLE_POLICIES.roundRobin })
    this.#listLag = millis(100 + (seed * 97) % 1400)
    this.#rig = new EndpointRig({
      seed, reportLag: millis(200), listLag: this.#listLag, kind: 'plain', model: MODEL, makePool
    })
  }

  async run (): Promise<LeavingFigures> {
    const { random, clock } = this.#rig
    DOMAINS.forEach((domain, place) => {
      for (let index = 0; index < ENDPOINTS_EACH; index++) this.#rig.addEndpoint(place * ENDPOINTS_EACH + index, domain).warmUp()
    })
    for (let index = 0; index < INSTANCES; index++) this.#rig.addMember(DOMAINS[index % DOMAINS.length]!, CALLS_AT_ONCE)
    clock.after(SETTLED, () => this.#putDomains())
    const time = (): Millis => millis(QUIET_START + random.below(EVENTS_SPAN))
    clock.after(time(), () => this.#leave(this.#rig.endpoints[random.below(this.#rig.endpoints.length)]!))
    clock.after(time(), () => this.#takeOut(DOMAINS[random.below(DOMAINS.length)]!))
    if (random.next() < OUTAGE_SHARE) clock.after(time(), () => { this.#rig.table.faults.isDown = true })
    if (random.next() < PAUSE_SHARE) clock.after(time(), () => this.#pauseOne())
    await this.#rig.run(SPAN)
    return this.#figures()
  }

  #figures (): LeavingFigures {
    const delays = this.#rig.trace.ofType('work-started').flatMap((event) => this.#stops
      .filter((stop) => stop.covers(event.endpoint, event.domain))
      .map((stop) => event.at - stop.shownAt))
    return { lastNewWorkMs: Math.max(0, ...delays), calls: this.#rig.calls }
  }

  #putDomains (): void {
    const [first] = this.#rig.members
    if (first?.leases instanceof ConfiguredPool) first.leases.putDomains(DOMAINS)
  }

  #leave (endpoint: FakeEndpoint): void {
    this.#rig.list.setEndpoint({ ...endpoint.listed, state: 'leaving' })
    const { id } = endpoint.listed
    this.#stops.push({ shownAt: millis(this.#rig.clock.now() + this.#listLag), covers: (at) => at === id })
  }

  /** An operator's out at one instance; where that is paused, once it runs again. */
  #takeOut (domain: DomainId): void {
    const { clock, random, members } = this.#rig
    const { gate, leases } = members[random.below(members.length)]!
    gate.run(() => {
      if (leases instanceof ConfiguredPool) leases.takeOut(domain)
      this.#stops.push({ shownAt: clock.now(), covers: (_endpoint, at) => at === domain })
    })
  }

  #pauseOne (): void {
    const { members, random } = this.#rig
    this.#rig.pause(members[random.below(members.length)]!, millis(1000 + random.below(5000)))
  }
}

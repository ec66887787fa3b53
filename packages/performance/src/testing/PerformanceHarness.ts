import { brand, epochMillis, EventRecorder, exponential, millis, SeededRandom, VirtualClock } from '@papayahill/common'
import type { DomainId, EndpointId, Millis, ServiceId } from '@papayahill/common'
import { Endpoint } from '@papayahill/directory'
import { EndpointPerformance } from '../EndpointPerformance.js'
import type { Work } from '../types.js'

/** Usual time of the calls at an endpoint of speed 1. */
export const USUAL_TIME = millis(100)
export const WORK: Work = { kind: 'plain', key: 'orders', amount: 1 }
const SLOTS = 8
/** Relative deviation of the time of single calls. */
const NOISE = 0.15

/** An endpoint whose calls take a time that depends on its speed, on the calls in progress and on momentary slowness. */
export interface SimulatedEndpoint {
  readonly endpoint: Endpoint
  /** Multiple of the usual time. */
  slowness: number
  /** Calls beyond which all slow down. */
  comfortable: number
  /** Momentary slowness, which it reports. */
  momentary: number
  /** Time until which its answers do not arrive, as over a path that is cut. */
  blockedUntil: number
}

export const newEndpoint = (id: string, startedAt = 1): Endpoint => new Endpoint({
  id: brand<EndpointId>(id),
  service: brand<ServiceId>('kitchen'),
  address: { ip: '10.0.0.1', port: 1 },
  domain: brand<DomainId>('hall'),
  version: 'v1',
  slots: SLOTS,
  isDraining: false,
  coldFor: millis(0),
  sequence: 1,
  startedAt: epochMillis(startedAt)
})

/**
 * One instance that calls simulated endpoints in virtual time, each at random times.
 *
 * @example
 * const harness = new PerformanceHarness()
 * const slow = harness.add('e1', { slowness: 1.7 })
 * await harness.call(30, seconds(5))
 * harness.factor(slow)
 */
export class PerformanceHarness {
  readonly clock = new VirtualClock()
  readonly log = new EventRecorder(this.clock)
  readonly performance = new EndpointPerformance({ clock: this.clock, log: this.log })
  readonly simulated: SimulatedEndpoint[] = []
  readonly #random = new SeededRandom(11)

  add (id: string, state: Partial<Omit<SimulatedEndpoint, 'endpoint'>> = {}): SimulatedEndpoint {
    const simulated = { endpoint: newEndpoint(id), slowness: 1, comfortable: SLOTS, momentary: 1, blockedUntil: 0, ...state }
    this.simulated.push(simulated)
    this.report(simulated)
    return simulated
  }

  /** Calls each endpoint so many times a second for a time. */
  async call (perSecond: number, span: Millis, endpoints: readonly SimulatedEndpoint[] = this.simulated): Promise<void> {
    const end = this.clock.now() + span
    const callAgain = (simulated: SimulatedEndpoint): void => {
      this.clock.after(millis(exponential(this.#random, 1000 / perSecond)), () => {
        if (this.clock.now() >= end) return
        void this.callOnce(simulated)
        callAgain(simulated)
      })
    }
    for (const simulated of endpoints) callAgain(simulated)
    await this.clock.advance(span)
  }

  /** One call; `extra` is a delay of this call alone. */
  async callOnce (simulated: SimulatedEndpoint, extra = 0): Promise<void> {
    const { endpoint } = simulated
    const start = this.performance.begin(endpoint)
    endpoint.running++
    const waited = Math.max(0, endpoint.running - SLOTS) / SLOTS
    const company = Math.max(1, Math.min(SLOTS, endpoint.running) / simulated.comfortable)
    const noise = 1 + NOISE * (2 * this.#random.next() - 1)
    const took = USUAL_TIME * simulated.slowness * simulated.momentary * company * (1 + waited) * noise + extra
    const startedAt = this.clock.now()
    await this.clock.sleep(millis(took))
    await this.clock.sleep(millis(simulated.blockedUntil - this.clock.now()))
    this.report(simulated)
    endpoint.running--
    if (start !== undefined) this.performance.record(endpoint, start, WORK, millis(this.clock.now() - startedAt))
  }

  report ({ endpoint, momentary }: SimulatedEndpoint): void {
    const own = endpoint.running
    const waiting = Math.max(0, own - SLOTS)
    endpoint.load = { running: own - waiting, waiting, slots: SLOTS, slowdown: momentary, own, at: this.clock.now() }
  }

  /** Learnt slowness relative to another endpoint. */
  ratio (left: SimulatedEndpoint, right: SimulatedEndpoint): number {
    return this.performance.slowness(left.endpoint, 'plain') / this.performance.slowness(right.endpoint, 'plain')
  }
}

import { brand, epochMillis, millis } from '@papayahill/common'
import type { DomainId, EndpointId, Millis, Random, ServiceId } from '@papayahill/common'
import { Endpoint } from '@papayahill/directory'
import type { LoadScenario } from './LoadScenario.js'

export const SERVICE = brand<ServiceId>('embed')
export const SLOTS = 8

/** An endpoint that boots, serves or drains. */
export interface FleetEndpoint {
  readonly endpoint: Endpoint
  readonly readyAt: Millis
  isDraining: boolean
}

const newEndpoint = (domain: DomainId, number: number, readyAt: Millis): Endpoint => new Endpoint({
  id: brand<EndpointId>(`${domain}-${number}`),
  service: SERVICE,
  domain,
  address: { ip: '10.0.0.1', port: number },
  version: '1',
  slots: SLOTS,
  isDraining: false,
  coldFor: millis(0),
  sequence: 1,
  startedAt: epochMillis(readyAt)
})

/**
 * The endpoints of one service as the platform runs them: new ones boot, and are cold after it; ones that leave end their
 * calls first.
 *
 * @example
 * endpoints.order(domain, 4, now)
 */
export class FleetEndpoints {
  readonly #scenario: LoadScenario
  readonly #random: Random
  readonly #servers = new Set<FleetEndpoint>()
  #created = 0

  constructor (scenario: LoadScenario, random: Random, perDomain: number) {
    this.#scenario = scenario
    this.#random = random
    for (const domain of scenario.domains) for (let at = 0; at < perDomain; at++) this.#create(domain, millis(0))
  }

  /** Endpoints that are paid for. */
  get size (): number {
    return this.#servers.size
  }

  get running (): number {
    return [...this.#servers].reduce((sum, { endpoint }) => sum + endpoint.running, 0)
  }

  /** The endpoints in the platform's list: those that have booted. */
  listed (now: Millis): readonly Endpoint[] {
    return [...this.#servers].filter(({ readyAt }) => readyAt <= now).map(({ endpoint }) => endpoint)
  }

  serving (now: Millis): readonly FleetEndpoint[] {
    return [...this.#servers].filter(({ endpoint, readyAt, isDraining }) =>
      !isDraining && readyAt <= now && !this.#scenario.isOut(endpoint.domain, now))
  }

  /** Endpoints of a failure domain that boot or serve. */
  staying (domain: DomainId): FleetEndpoint[] {
    return [...this.#servers].filter(({ endpoint, isDraining }) => endpoint.domain === domain && !isDraining)
  }

  /** Carries out an order; returns whether it changes anything. */
  order (domain: DomainId, count: number, now: Millis): boolean {
    const staying = this.staying(domain)
    const excess = staying.length - count
    for (let at = staying.length; at < count; at++) this.#create(domain, millis(now + this.#scenario.bootTime))
    for (let left = excess; left > 0; left--) this.#release(staying)
    return excess !== 0
  }

  removeDrained (): void {
    for (const server of this.#servers) if (server.isDraining && server.endpoint.running === 0) this.#servers.delete(server)
  }

  #create (domain: DomainId, readyAt: Millis): void {
    const endpoint = newEndpoint(domain, ++this.#created, readyAt)
    if (readyAt > 0) endpoint.coldUntil = millis(readyAt + this.#scenario.coldTime)
    this.#servers.add({ endpoint, readyAt, isDraining: false })
  }

  /** The platform picks any endpoint, ones that still boot as well. */
  #release (staying: FleetEndpoint[]): void {
    const [server] = staying.splice(this.#random.below(staying.length), 1)
    if (server === undefined) return
    server.isDraining = true
    server.endpoint.isLeaving = true
  }
}

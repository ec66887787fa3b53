import { brand, epochMillis, EventRecorder, millis, seconds, VirtualClock } from '@papayahill/common'
import type { DomainId, EndpointId, EventKind, Incarnation, InstanceId, Json, Millis, ServiceId } from '@papayahill/common'
import { Endpoint } from '@papayahill/directory'
import type { ScalingProfile, ServiceProfile } from '@papayahill/directory'
import type { DutyCallResult, FencingToken, Permit } from '@papayahill/duties'
import { EndpointScaler } from '../EndpointScaler.js'
import { SCALING_ROW } from '../ScalingRow.js'
import type { EndpointOrder, LoadSample, ScalingChannel } from '../types.js'
import { FakeDutyTable } from './FakeDutyTable.js'
import { FakeLease } from './FakeLease.js'
import { EAST, MEMBERS, samplesOf, WEST } from './planning.js'

export const SCALED = brand<ServiceId>('embed')
export const PLAIN = brand<ServiceId>('plain')
export const SCALING: ScalingProfile = { min: 1, max: 20, bootTime: seconds(8) }

const profileOf = (id: ServiceId, scaling?: ScalingProfile): ServiceProfile => ({ id, maxConnections: 0, coldPerSecond: 0, scaling })

/** The row of orders with one number for all failure domains. */
export const rowOf = (endpoints: number, era = 0): Json => ({ era, orders: [[SCALED, EAST, endpoints], [SCALED, WEST, endpoints]] })

/** An order that the platform received. */
export interface ReceivedOrder extends EndpointOrder {
  readonly token: FencingToken
  /** The row of orders when it was received, and how often the table had been read. */
  readonly row: Json | undefined
  readonly reads: number
}

/**
 * A scaler with a platform that keeps the listed endpoints as ordered, at once.
 *
 * @example
 * const harness = new ScalerHarness()
 * harness.lease.give(1)
 * await harness.run(20)
 */
export class ScalerHarness implements ScalingChannel {
  readonly clock = new VirtualClock()
  readonly events = new EventRecorder(this.clock)
  readonly lease = new FakeLease()
  readonly received: ReceivedOrder[] = []
  readonly scaler: EndpointScaler
  services: readonly ServiceProfile[] = [profileOf(SCALED, SCALING), profileOf(PLAIN)]
  samples: readonly LoadSample[] = samplesOf(20)
  /** Instances whose reports were received from the scaler itself, and how many of those were confirmed. */
  readonly reporters: Incarnation[] = []
  confirmed = 0
  /** What the platform answers; it carries an order out only where it accepts it. */
  answer: DutyCallResult = { kind: 'accepted' }
  /** Time before an order is sent, as for a slow connection. */
  connectTime: Millis = millis(0)
  /** Whether the platform carries out what it accepts. */
  carriesOut = true
  readonly counts = new Map<DomainId, number>([[EAST, 2], [WEST, 2]])
  readonly table: FakeDutyTable

  constructor (table = new FakeDutyTable()) {
    this.table = table
    const heard = new Set(MEMBERS)
    this.scaler = new EndpointScaler({
      clock: this.clock,
      log: this.events,
      lease: this.lease,
      table,
      channel: this,
      loads: { samples: () => this.samples, heardWithin: () => heard, receive: (from) => { this.reporters.push(from.incarnation) } },
      own: {
        reporter: { id: brand<InstanceId>('ph-1'), incarnation: MEMBERS[0]! },
        source: { name: 'load', next: () => ({ body: [], confirm: () => { this.confirmed++ } }) }
      },
      services: () => this.services,
      endpoints: () => this.#endpoints(),
      isDomainOut: () => false,
      members: (): ReadonlySet<Incarnation> => heard,
      isMoving: () => false
    })
    this.scaler.start()
  }

  async order (order: EndpointOrder, permit: Permit): Promise<DutyCallResult> {
    await this.clock.sleep(this.connectTime)
    const token = permit()
    if (token === undefined) return { kind: 'unsent', detail: 'no permit' }
    this.received.push({ ...order, token, row: this.table.get(SCALING_ROW), reads: this.table.reads })
    if (this.answer.kind === 'accepted' && this.carriesOut) this.counts.set(order.domain, order.endpoints)
    return this.answer
  }

  async run (count: number): Promise<void> {
    await this.clock.advance(seconds(count))
  }

  eventCount (kind: EventKind): number {
    return this.events.records.filter((record) => record.kind === kind).length
  }

  #endpoints (): readonly Endpoint[] {
    return [...this.counts].flatMap(([domain, count]) => Array.from({ length: count }, (_none, at) => new Endpoint({
      id: brand<EndpointId>(`${domain}-${at}`),
      service: SCALED,
      domain,
      address: { ip: '10.0.0.1', port: 80 },
      version: '1',
      slots: 8,
      isDraining: false,
      coldFor: millis(0),
      sequence: 1,
      startedAt: epochMillis(1)
    })))
  }
}

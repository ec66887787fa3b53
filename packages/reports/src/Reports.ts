import type { Clock, DomainId, EventLog, InstanceId, Millis, Random } from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import { FleetClock } from './FleetClock.js'
import { ReportCollector } from './ReportCollector.js'
import { ReportReceivers } from './ReportReceivers.js'
import { ReportSender } from './ReportSender.js'
import type { HolderView, ReportSink, ReportSource } from './types.js'

export interface ReportsOptions {
  readonly clock: Clock
  /** Boot-time clock, which does not stand still while the machine is suspended. */
  readonly uptime?: () => Millis
  readonly random: Random
  readonly peers: Pick<Peers, 'self' | 'incarnation' | 'members' | 'isConnected' | 'keepLinks' | 'send' | 'ask' | 'handle'>
  /** Failure domain and CPU share of this instance. */
  readonly domain: DomainId
  readonly capacity?: number
  readonly holder: HolderView
  readonly log: EventLog
}

/** For operators. */
export interface ReportsStatus {
  /** Reports that were received, and messages that could not be read, since the start. */
  readonly received: number
  readonly malformed: number
  /** Instances that this one reports to. */
  readonly receivers: readonly InstanceId[]
  /** Whether the fleet clock was set to the median of all instances. */
  readonly isClockSet: boolean
}

/**
 * Reports of this instance, the collection of those of others, and the clock that they correct.
 *
 * @example
 * const reports = new Reports({ clock, random, peers, domain, capacity, holder: lease, log })
 * reports.addSource(source)
 * reports.addSink(sink)
 * reports.start()
 */
export class Reports {
  readonly fleetClock: FleetClock
  readonly #receivers: ReportReceivers
  readonly #collector: ReportCollector
  readonly #sender: ReportSender

  constructor (options: ReportsOptions) {
    const { clock, random, peers, holder, log } = options
    this.fleetClock = new FleetClock(options)
    this.#receivers = new ReportReceivers(options)
    this.#collector = new ReportCollector({ clock, peers, receivers: this.#receivers, log })
    this.#sender = new ReportSender({
      clock, random, peers, receivers: this.#receivers, holder, collector: this.#collector, fleetClock: this.fleetClock, log
    })
  }

  addSource (source: ReportSource): void {
    this.#sender.addSource(source)
  }

  addSink (sink: ReportSink): void {
    this.#collector.addSink(sink)
  }

  start (): void {
    this.#collector.listen()
    this.#sender.start()
  }

  /** Sends a last report, and resolves once it was confirmed or cannot be. */
  stop (): Promise<void> {
    return this.#sender.stop()
  }

  /** Gets what the instances that may have received reports have collected. */
  collect (): Promise<void> {
    return this.#collector.collect()
  }

  /** For operators. */
  status (): ReportsStatus {
    const { received, malformed } = this.#collector
    return { received, malformed, receivers: this.#receivers.current().map(({ id }) => id), isClockSet: this.fleetClock.isSet }
  }
}

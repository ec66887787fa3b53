import { GatedClock, InstanceGate, SeededRandom } from '@papayahill/common'
import type { EventLog, Millis } from '@papayahill/common'
import { DutyLease } from '@papayahill/duties'
import type { DutyTable } from '@papayahill/duties'
import { PeerCore } from '@papayahill/peers'
import type { ListedPeer, MemoryNetwork, PeerIdentity } from '@papayahill/peers'
import { Reports } from '@papayahill/reports'
import { Result } from 'true-myth'
import type { UsageChannel } from '../types.js'
import { Usage } from '../Usage.js'
import type { UsageOptions } from '../Usage.js'
import { SkewedClock } from './SkewedClock.js'

/** What one instance is made of. */
export interface UsageInstanceOptions {
  readonly identity: PeerIdentity
  readonly capacity: number
  readonly skew: Millis
  readonly seed: number
  readonly network: MemoryNetwork
  readonly table: DutyTable
  /** Table for reports where they are not shared. */
  readonly ownTable: DutyTable | undefined
  readonly channel: (instance: UsageInstance) => UsageChannel
  readonly listed: () => readonly ListedPeer[]
  readonly log: EventLog
}

/** Links that publish nothing. */
const silentPeers = (peers: PeerCore): UsageOptions['peers'] => ({
  incarnation: peers.incarnation, members: () => peers.members(), entries: () => [], onEntry: () => {}, publish: () => {}
})

/** Reports without copies of written reports, and without what others have collected. */
const silentReports = (reports: Reports): UsageOptions['reports'] => ({
  fleetClock: reports.fleetClock,
  addSource: (source) => { if (source.name === 'usage') reports.addSource(source) },
  addSink: (sink) => { if (sink.name === 'usage') reports.addSink(sink) },
  collect: () => Promise.resolve()
})

/** One instance with its links, its clock, its reports and its usage. */
export class UsageInstance {
  readonly identity: PeerIdentity
  readonly gate = new InstanceGate()
  readonly clock: SkewedClock
  readonly peers: PeerCore
  readonly reports: Reports
  readonly usage: Usage
  readonly lease: DutyLease
  /** Calls to the store for reports; those for the lease are not among them. */
  storeCalls = 0
  isStopping = false
  isFrozen = false
  /** Dies when it is about to send its next report. */
  diesBeforeSend = false

  constructor ({ identity, capacity, skew, seed, network, table, ownTable, channel, listed, log }: UsageInstanceOptions) {
    this.identity = identity
    this.clock = new SkewedClock(new GatedClock(network.clock, this.gate), skew)
    const { clock } = this
    const { id: self, incarnation, domain } = identity
    const random = new SeededRandom(seed)
    this.peers = new PeerCore({
      self,
      incarnation,
      domain,
      capacity,
      clock,
      random: random.fork(),
      transport: network.transport(identity),
      list: { list: () => Promise.resolve(Result.ok({ instances: listed() })) }
    })
    const onCall = (): void => { this.storeCalls++ }
    const elapsed = { boot: () => clock.now(), wall: () => clock.wall() }
    const lease = this.lease = new DutyLease({
      self, incarnation, clock, elapsed, random: random.fork(), table: this.#gated(table), peers: this.peers, capacity, log
    })
    this.reports = new Reports({ clock, random: random.fork(), peers: this.peers, domain, capacity, holder: lease, log })
    const shared = ownTable === undefined
      ? { peers: this.peers, reports: this.reports, table: this.#gated(table, onCall) }
      : { peers: silentPeers(this.peers), reports: silentReports(this.reports), table: this.#gated(ownTable, onCall) }
    this.usage = new Usage({ ...shared, clock, lease, channel: channel(this), log })
  }

  start (): void {
    void this.peers.start()
    this.lease.start()
    this.reports.start()
    this.usage.start()
  }

  /** Ends as planned: sends a last report and hands the lease over. */
  async stop (): Promise<void> {
    this.isStopping = true
    this.usage.stop()
    await Promise.all([this.reports.stop(), this.lease.stop()])
  }

  freeze (): void {
    this.isFrozen = true
    this.gate.pause()
  }

  thaw (): void {
    this.isFrozen = false
    this.gate.resume()
  }

  /** The table without answers to calls of a process that has ended; `onCall` is called for each call. */
  #gated (table: DutyTable, onCall: () => void = () => {}): DutyTable {
    return {
      read: () => {
        onCall()
        return this.gate.pass(table.read())
      },
      commit: (change) => {
        onCall()
        return this.gate.pass(table.commit(change))
      }
    }
  }

  /** Bytes that it has sent on a topic. */
  sentBytes (topic: string): number {
    return this.peers.traffic().find((traffic) => traffic.topic === topic)?.sentBytes ?? 0
  }

  get allSentBytes (): number {
    return this.peers.traffic().reduce((sum, { sentBytes }) => sum + sentBytes, 0)
  }
}

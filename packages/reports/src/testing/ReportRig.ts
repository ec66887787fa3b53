import { brand, epochMillis, EventRecorder, millis, SeededRandom, VirtualClock } from '@papayahill/common'
import type { Clock, DomainId, Incarnation, InstanceId, Json, Millis } from '@papayahill/common'
import type { PeerError, PeerHandler, PeerMember } from '@papayahill/peers'
import { Result } from 'true-myth'
import { Reports } from '../Reports.js'
import type { ReportsOptions } from '../Reports.js'
import type { HolderView, Reporter, ReportSink, ReportSource } from '../types.js'

const ONE_WAY = millis(1)

/** A holder that all instances of a rig know. */
export class RigHolder implements HolderView {
  readonly #listeners: Array<() => void> = []
  holder: Reporter | undefined

  onChange (listener: () => void): void {
    this.#listeners.push(listener)
  }

  change (holder: Reporter | undefined): void {
    this.holder = holder
    for (const listener of this.#listeners) listener()
  }
}

/** A section whose body counts up, and which records what was confirmed and rejected. */
export class CountingSource implements ReportSource {
  readonly name = 'count'
  value = 0
  rejected = 0
  readonly confirmed = new Map<Incarnation, number>()

  next (receiver: Incarnation): ReturnType<ReportSource['next']> {
    const { value } = this
    if (this.confirmed.get(receiver) === value) return undefined
    return {
      body: value,
      confirm: () => { this.confirmed.set(receiver, value) },
      reject: () => { this.rejected++ }
    }
  }
}

/** Stores the last body of each instance. */
export class CountingSink implements ReportSink {
  readonly name = 'count'
  readonly values = new Map<Incarnation, number>()
  received = 0

  receive ({ incarnation }: Reporter, body: Json): void {
    if (typeof body !== 'number') throw new Error('not a number')
    this.received++
    this.values.set(incarnation, body)
  }

  exported (): Json {
    return Object.fromEntries(this.values)
  }

  merge (exported: Json): void {
    for (const [incarnation, value] of Object.entries(exported as Readonly<Record<Incarnation, number>>)) {
      this.values.set(incarnation as Incarnation, value)
    }
  }
}

/** One instance of a rig. */
export interface RigInstance {
  readonly self: Reporter
  readonly reports: Reports
  readonly source: CountingSource
  readonly sink: CountingSink
  readonly log: EventRecorder
  handler: PeerHandler | undefined
  /** Neither receives nor answers. */
  isSilent: boolean
  /** Cannot be reached, which shows at once. */
  isUnlinked: boolean
}

/** Instances whose messages are passed on directly, in virtual time. */
export class ReportRig {
  readonly clock = new VirtualClock()
  readonly holder = new RigHolder()
  readonly instances: RigInstance[] = []
  readonly #members: PeerMember[] = []

  /** `skewOf` tells how far an instance's wall clock is ahead. */
  constructor (count: number, skewOf: (at: number) => Millis = () => millis(0)) {
    for (let at = 0; at < count; at++) this.#add(at, skewOf(at))
  }

  start (): void {
    for (const { reports } of this.instances) reports.start()
  }

  #add (at: number, skew: Millis): void {
    const [id, incarnation, domain] = [brand<InstanceId>(`i${at}`), brand<Incarnation>(`i${at}@1`), brand<DomainId>(`hall-${at % 3}`)]
    this.#members.push({ id, incarnation, domain, capacity: 1, silence: millis(0) })
    const clock: Clock = Object.assign(Object.create(this.clock) as Clock, {
      now: () => this.clock.now(),
      wall: () => epochMillis(this.clock.wall() + skew),
      after: this.clock.after.bind(this.clock)
    })
    const log = new EventRecorder(this.clock)
    const peers = this.#peersOf(at, { id, incarnation })
    const reports = new Reports({ clock, random: new SeededRandom(at + 1), peers, domain, holder: this.holder, log })
    const [source, sink] = [new CountingSource(), new CountingSink()]
    reports.addSource(source)
    reports.addSink(sink)
    this.instances.push({ self: { id, incarnation }, reports, source, sink, log, handler: undefined, isSilent: false, isUnlinked: false })
  }

  #isUnlinked (id: InstanceId): boolean {
    return this.instances.find(({ self }) => self.id === id)?.isUnlinked === true
  }

  #peersOf (at: number, { id: self, incarnation }: Reporter): ReportsOptions['peers'] {
    const deliver = async (to: InstanceId, message: Json): Promise<Json | undefined> => {
      await this.clock.sleep(ONE_WAY)
      const target = this.instances.find((instance) => instance.self.id === to)
      if (target === undefined || target.isSilent || this.instances[at]!.isSilent) return undefined
      return await target.handler?.(self, message, incarnation)
    }
    return {
      self,
      incarnation,
      members: () => this.#members.filter(({ id }) => id !== self),
      isConnected: (id) => !this.#isUnlinked(id),
      keepLinks: () => {},
      send: (to, _topic, message) => { void deliver(to, message) },
      handle: (_topic, handler) => { this.instances[at]!.handler = handler },
      ask: async (to, _topic, message, timeout): Promise<Result<Json, PeerError>> => {
        if (this.#isUnlinked(to)) return Result.err({ kind: 'unreachable', detail: `no link to ${to}` })
        const answer = await deliver(to, message)
        if (answer !== undefined) return Result.ok(answer)
        await this.clock.sleep(timeout)
        return Result.err({ kind: 'timeout', detail: `${to} did not answer` })
      }
    }
  }
}

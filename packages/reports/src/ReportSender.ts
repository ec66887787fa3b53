import { epochMillis, millis } from '@papayahill/common'
import type { Clock, EventLog, Incarnation, InstanceId, Json, Millis, Random, Timer } from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import { FRAME_BYTES, HOLDER_CHANGE_SPREAD, LINK_RETRY, LINK_TIME, PERIOD_SPREAD, REPORT_TIMEOUT } from './constants.js'
import { REPORTS_EVENTS } from './events.js'
import type { FleetClock } from './FleetClock.js'
import { messageSize } from './messageSize.js'
import type { ReportCollector } from './ReportCollector.js'
import { decodeReply, encodeReport } from './reportMessages.js'
import type { ReportReply } from './reportMessages.js'
import { ReportPace } from './ReportPace.js'
import type { ReportReceivers } from './ReportReceivers.js'
import type { HolderView, ReportBody, Reporter, ReportSource } from './types.js'

export interface ReportSenderOptions {
  readonly clock: Clock
  readonly random: Random
  readonly peers: Pick<Peers, 'self' | 'incarnation' | 'isConnected' | 'keepLinks' | 'ask' | 'send'>
  readonly receivers: ReportReceivers
  readonly holder: HolderView
  /** Receives this instance's own reports where it is a receiver itself. */
  readonly collector: ReportCollector
  readonly fleetClock: FleetClock
  readonly log: EventLog
}

/**
 * Sends this instance's reports to the receivers. All sections go in one message. A report without a reply is no loss: the next
 * one contains all that has not been confirmed.
 *
 * @example
 * const sender = new ReportSender({ clock, random, peers, receivers, holder, collector, fleetClock, log })
 * sender.addSource(usage)
 * sender.start()
 */
export class ReportSender {
  readonly #options: ReportSenderOptions
  readonly #sources: ReportSource[] = []
  readonly #pace = new ReportPace()
  /** Reports since the last one that asked for a reply, by receiver. */
  readonly #sinceReply = new Map<Incarnation, number>()
  /** Receivers whose reply is awaited. */
  readonly #awaited = new Set<Incarnation>()
  /** Monotonic times at which receivers were chosen. */
  readonly #chosenAt = new Map<Incarnation, Millis>()
  #kept: ReadonlySet<InstanceId> = new Set()
  #timer: Timer | undefined
  /** Timer of a report between two regular ones. */
  #extraTimer: Timer | undefined
  #isStopped = false

  constructor (options: ReportSenderOptions) {
    this.#options = options
  }

  addSource (source: ReportSource): void {
    this.#sources.push(source)
  }

  /** Sends reports from now on, the first one at a random time within a period. */
  start (): void {
    const { random, holder } = this.#options
    this.#schedule(random.next())
    holder.onChange(() => this.#reportSoon(millis(random.next() * HOLDER_CHANGE_SPREAD)))
  }

  /** Sends a last report, and resolves once it was confirmed or cannot be. */
  async stop (): Promise<void> {
    this.#isStopped = true
    this.#timer?.cancel()
    this.#extraTimer?.cancel()
    await Promise.all(this.#options.receivers.current().map((receiver) => this.#reportTo(receiver, true).settled))
  }

  /** Sends the next regular report after a share of the period. */
  #schedule (share: number): void {
    const { clock, random, receivers } = this.#options
    if (this.#isStopped) return
    this.#timer = clock.after(millis(this.#pace.period(receivers.instances) * share), () => {
      this.#schedule(1 + (random.next() - 0.5) * PERIOD_SPREAD)
      this.#report()
    })
  }

  /** Sends a report after `delay` in addition to the regular ones, which would all fall into the same moment otherwise. */
  #reportSoon (delay: Millis): void {
    if (this.#isStopped || this.#extraTimer !== undefined) return
    this.#extraTimer = this.#options.clock.after(delay, () => {
      this.#extraTimer = undefined
      this.#report()
    })
  }

  #report (): void {
    const { receivers } = this.#options
    const current = receivers.current()
    this.#keepLinks(current)
    const every = this.#pace.reportsPerReply(receivers.instances)
    let size = 0
    for (const receiver of current) size += this.#reportTo(receiver, this.#needsReply(receiver, every)).size
    this.#pace.note(size)
  }

  #needsReply ({ id, incarnation }: Reporter, every: number): boolean {
    const since = (this.#sinceReply.get(incarnation) ?? every) + 1
    const { peers, fleetClock } = this.#options
    const isDue = since > every || !fleetClock.isSet || !peers.isConnected(id)
    this.#sinceReply.set(incarnation, isDue ? 1 : since)
    return isDue && !this.#awaited.has(incarnation)
  }

  /** Sends a report; returns its size in bytes, and a promise that resolves once it was confirmed or cannot be. */
  #reportTo (receiver: Reporter, needsReply: boolean): { readonly size: number, readonly settled: Promise<void> } {
    const { clock, fleetClock, peers } = this.#options
    const parts = this.#sources.flatMap((source) => {
      const part = source.next(receiver.incarnation)
      return part === undefined ? [] : [{ name: source.name, part }]
    })
    // A report without sections still brings a reply that sets the clock.
    if (parts.length === 0 && fleetClock.isSet) return { size: 0, settled: Promise.resolve() }
    const [wall, elapsed] = [clock.wall(), fleetClock.elapsed()]
    const message = encodeReport({ wall, sections: parts.map(({ name, part }) => ({ name, body: part.body })) })
    const settled = this.#deliver(receiver, message, needsReply).then((reply) => {
      if (reply === undefined) return
      this.#settle(receiver, reply, parts.map(({ part }) => part))
      if (reply.ahead !== undefined) fleetClock.correct(elapsed, epochMillis(wall - reply.ahead))
    })
    return { size: receiver.incarnation === peers.incarnation ? 0 : messageSize(message) + FRAME_BYTES, settled }
  }

  /** The receiver's reply; undefined if there is none. */
  async #deliver ({ id, incarnation }: Reporter, message: Json, needsReply: boolean): Promise<ReportReply | undefined> {
    const { clock, peers, collector, receivers, log } = this.#options
    if (incarnation === peers.incarnation) return collector.receive({ id, incarnation }, message)
    if (!needsReply) {
      peers.send(id, 'report', message)
      return undefined
    }
    this.#awaited.add(incarnation)
    const answer = await peers.ask(id, 'report', message, REPORT_TIMEOUT)
    this.#awaited.delete(incarnation)
    if (answer.isOk) return decodeReply(answer.value)
    if (answer.error.kind === 'unreachable' && clock.now() - (this.#chosenAt.get(incarnation) ?? clock.now()) < LINK_TIME) {
      this.#reportSoon(LINK_RETRY)
      return undefined
    }
    receivers.suspect(incarnation)
    log.emit(REPORTS_EVENTS.receiverSilent, { receiver: id, detail: answer.error.detail })
    return undefined
  }

  #settle ({ id }: Reporter, { isStored }: ReportReply, parts: readonly ReportBody[]): void {
    if (!isStored) this.#options.log.emit(REPORTS_EVENTS.reportRejected, { receiver: id })
    for (const part of parts) {
      if (isStored) part.confirm()
      else part.reject?.()
    }
  }

  #keepLinks (current: readonly Reporter[]): void {
    const { clock, peers, log } = this.#options
    const ids = new Set(current.map(({ id }) => id).filter((id) => id !== peers.self))
    const incarnations = new Set(current.map(({ incarnation }) => incarnation))
    for (const known of this.#sinceReply.keys()) if (!incarnations.has(known)) this.#sinceReply.delete(known)
    for (const known of this.#chosenAt.keys()) if (!incarnations.has(known)) this.#chosenAt.delete(known)
    for (const { incarnation } of current) if (!this.#chosenAt.has(incarnation)) this.#chosenAt.set(incarnation, clock.now())
    if (ids.size === this.#kept.size && [...ids].every((id) => this.#kept.has(id))) return
    this.#kept = ids
    peers.keepLinks(ids, 'report')
    log.emit(REPORTS_EVENTS.receiversChanged, { receivers: current.map(({ id }) => id).join(' ') })
  }
}

import { millis } from '@papayahill/common'
import type { Clock, EventLog, InstanceId, Json } from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import { COLLECT_PEERS, COLLECT_TIMEOUT, MALFORMED_LOG_PERIOD } from './constants.js'
import { REPORTS_EVENTS } from './events.js'
import { COLLECT_MESSAGE, decodeCollected, decodeReport, encodeReply } from './reportMessages.js'
import type { ReportReply } from './reportMessages.js'
import type { ReportReceivers } from './ReportReceivers.js'
import type { Reporter, ReportSink } from './types.js'
import { WallClocks } from './WallClocks.js'

export interface ReportCollectorOptions {
  readonly clock: Clock
  readonly peers: Pick<Peers, 'self' | 'incarnation' | 'ask' | 'handle'>
  readonly receivers: ReportReceivers
  readonly log: EventLog
}

/**
 * Receives the reports of all instances and passes their sections to the sinks. It runs on each instance, since any may become the
 * holder of the duties or the backup.
 *
 * @example
 * const collector = new ReportCollector({ clock, peers, receivers, log })
 * collector.addSink(usage)
 * collector.listen()
 */
export class ReportCollector {
  readonly #options: ReportCollectorOptions
  readonly #sinks = new Map<string, ReportSink>()
  readonly #wallClocks: WallClocks
  #loggedAt = millis(-Infinity)
  received = 0
  malformed = 0

  constructor (options: ReportCollectorOptions) {
    this.#options = options
    const { clock, peers, receivers } = options
    this.#wallClocks = new WallClocks(clock, peers.incarnation, () => receivers.instances)
  }

  addSink (sink: ReportSink): void {
    this.#sinks.set(sink.name, sink)
  }

  /** Starts to handle messages on the topic `report`. */
  listen (): void {
    this.#options.peers.handle('report', (id, message, incarnation) =>
      message === COLLECT_MESSAGE ? this.#exported() : encodeReply(this.receive({ id, incarnation }, message)))
  }

  /** Stores a report; also called for the reports of this instance itself. */
  receive (from: Reporter, message: Json): ReportReply {
    const report = decodeReport(message)
    if (report === undefined) {
      this.#noteMalformed(from.id, 'not a report')
      return { isStored: false }
    }
    this.received++
    this.#wallClocks.note(from.incarnation, report.wall)
    const { clock } = this.#options
    const stored = report.sections.map(({ name, body }) => this.#guard(from.id, name, (sink) => sink.receive(from, body, clock.now())))
    return { isStored: !stored.includes(false), ahead: this.#wallClocks.aheadOfMedian(from.incarnation) }
  }

  /** Gets what the instances that may have received reports have collected. */
  async collect (): Promise<void> {
    const { peers, receivers, log } = this.#options
    const asked = receivers.others().slice(0, COLLECT_PEERS)
    const answers = await Promise.all(asked.map(async ({ id }) => {
      const answer = await peers.ask(id, 'report', COLLECT_MESSAGE, COLLECT_TIMEOUT)
      if (answer.isErr) return false
      for (const [name, exported] of Object.entries(decodeCollected(answer.value))) this.#guard(id, name, (sink) => sink.merge(exported))
      return true
    }))
    log.emit(REPORTS_EVENTS.collected, { asked: asked.length, answered: answers.filter((isAnswered) => isAnswered).length })
  }

  #exported (): Json {
    return Object.fromEntries([...this.#sinks.values()].map((sink) => [sink.name, sink.exported()]))
  }

  /** Whether the section could be read; one of an unknown name is ignored, since the sender may be of a newer version. */
  #guard (from: InstanceId, name: string, act: (sink: ReportSink) => void): boolean {
    const sink = this.#sinks.get(name)
    if (sink === undefined) return true
    try {
      act(sink)
      return true
    } catch (err) {
      this.#noteMalformed(from, `${name}: ${err instanceof Error ? err.message : String(err)}`)
      return false
    }
  }

  #noteMalformed (from: InstanceId, detail: string): void {
    const { clock, log } = this.#options
    this.malformed++
    if (clock.now() - this.#loggedAt < MALFORMED_LOG_PERIOD) return
    this.#loggedAt = clock.now()
    log.emit(REPORTS_EVENTS.reportMalformed, { from, detail, count: this.malformed })
  }
}

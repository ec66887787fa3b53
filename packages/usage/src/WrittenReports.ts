import type { Incarnation, Json } from '@papayahill/common'
import type { GossipEntry, Peers } from '@papayahill/peers'
import type { ReportBody, Reporter, ReportSink, ReportSource } from '@papayahill/reports'
import { KEPT_REPORTS, MAX_UNACCEPTED_REPORTS } from './constants.js'
import type { UsageReport } from './types.js'
import { decodeCounts, encodeCounts } from './usageMessages.js'

export interface WrittenReportsOptions {
  readonly peers: Pick<Peers, 'entries' | 'onEntry' | 'publish'>
  /** Whether this instance hands its copies on to the backup. */
  readonly isHolder: () => boolean
  /** Called when a later window than before is known to be written. */
  readonly onWritten: (newest: number) => void
}

interface Copy {
  readonly report: UsageReport
  readonly version: number
}

const GOSSIP_KEY = 'usage'

const encodeReport = ({ window, counts }: UsageReport): Json => [window, encodeCounts(counts)]

const decodeReport = (packed: Json): UsageReport => {
  if (!Array.isArray(packed) || typeof packed[0] !== 'number') throw new Error('not a report')
  return { window: packed[0], counts: decodeCounts(packed[1]) }
}

const decodeReports = (body: Json): readonly UsageReport[] => {
  if (!Array.isArray(body)) throw new Error('not a list of reports')
  return (body as readonly Json[]).map(decodeReport)
}

/**
 * What is known of written reports: the newest window, which all instances are told, and copies of the last reports, which the
 * holder hands on to the backup. After the store was restored from an older copy, a window that was written before is thereby
 * never counted anew, and its report is written again as it was.
 */
export class WrittenReports implements ReportSource, ReportSink {
  readonly name = 'written'
  readonly #options: WrittenReportsOptions
  readonly #copies = new Map<number, Copy>()
  /** Version of the newest copy that each receiver has. */
  readonly #confirmed = new Map<Incarnation, number>()
  #version = 0
  #newest: number | undefined
  #accepted: number | undefined

  constructor (options: WrittenReportsOptions) {
    this.#options = options
    for (const entry of options.peers.entries('report')) this.#receiveEntry(entry)
    options.peers.onEntry('report', (entry) => this.#receiveEntry(entry))
  }

  /** Newest window whose report was written; undefined if none is known. */
  get newest (): number | undefined {
    return this.#newest
  }

  /** Newest window up to which all reports were accepted; undefined if none is known. */
  get accepted (): number | undefined {
    return this.#accepted
  }

  get copies (): readonly UsageReport[] {
    return [...this.#copies.values()].map(({ report }) => report)
  }

  /** Keeps a copy of a report that is in the store. */
  addCopy (report: UsageReport): void {
    if (!this.#copies.has(report.window)) this.#copies.set(report.window, { report, version: ++this.#version })
    this.noteWritten(report.window)
  }

  noteWritten (window: number): void {
    if (this.#newest !== undefined && window <= this.#newest) return
    this.#newest = window
    this.#dropOld(window)
    this.#options.onWritten(window)
  }

  noteAccepted (window: number): void {
    this.#accepted = Math.max(window, this.#accepted ?? window)
  }

  /** Tells all instances what is written and accepted. */
  publish (): void {
    this.#options.peers.publish('report', GOSSIP_KEY, this.#progress())
  }

  next (receiver: Incarnation): ReportBody | undefined {
    if (!this.#options.isHolder()) {
      this.#confirmed.clear()
      return undefined
    }
    const confirmed = this.#confirmed.get(receiver) ?? 0
    const copies = [...this.#copies.values()].filter(({ version }) => version > confirmed)
    if (copies.length === 0) return undefined
    const version = this.#version
    return {
      body: copies.map(({ report }) => encodeReport(report)),
      confirm: () => { this.#confirmed.set(receiver, version) }
    }
  }

  receive (_from: Reporter, body: Json): void {
    for (const report of decodeReports(body)) this.addCopy(report)
  }

  exported (): Json {
    return [this.#progress(), this.copies.map(encodeReport)]
  }

  merge (exported: Json): void {
    if (!Array.isArray(exported)) throw new Error('not a list')
    const [progress, reports] = exported as readonly Json[]
    for (const report of decodeReports(reports ?? null)) this.addCopy(report)
    this.#noteProgress(progress)
  }

  #receiveEntry ({ key, value }: GossipEntry): void {
    if (key === GOSSIP_KEY) this.#noteProgress(value)
  }

  #progress (): Json {
    return [this.#newest ?? -1, this.#accepted ?? -1]
  }

  #noteProgress (progress: Json | undefined): void {
    if (!Array.isArray(progress)) return
    const [newest, accepted] = progress as readonly Json[]
    if (typeof accepted === 'number' && accepted >= 0) this.noteAccepted(accepted)
    if (typeof newest === 'number' && newest >= 0) this.noteWritten(newest)
  }

  /** Drops copies of windows that the store no longer needs either. */
  #dropOld (newest: number): void {
    for (const window of this.#copies.keys()) {
      const isAccepted = this.#accepted !== undefined && window <= this.#accepted
      if (window <= newest - (isAccepted ? KEPT_REPORTS : MAX_UNACCEPTED_REPORTS)) this.#copies.delete(window)
    }
  }
}

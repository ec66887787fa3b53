import { brand, MILLIS_PER_SECOND } from '@papayahill/common'
import type { Clock, Incarnation, InstanceId, Json, Millis, ServiceId } from '@papayahill/common'
import type { GossipEntry, Peers, Topic } from '@papayahill/peers'
import type { MoveSettings } from '@papayahill/settings'
import { z } from 'zod'
import { EVIDENCE_BYTES_PER_SECOND, PUBLISH_PERIOD } from './constants.js'
import { EvidenceCounts } from './EvidenceCounts.js'
import { parseRecordedMove } from './moveRow.js'
import type { RecordedMove } from './moveRow.js'
import type { OpenMove } from './OpenMove.js'

/** What peers tell of moves. */
export type MoveNews =
  | { readonly kind: 'counts', readonly service: ServiceId, readonly startedAt: number, readonly life: string, readonly counts: EvidenceCounts }
  | { readonly kind: 'step', readonly service: ServiceId, readonly row: RecordedMove }
  | { readonly kind: 'taken-back', readonly service: ServiceId, readonly startedAt: number, readonly because: string }

const newsSchema = z.object({
  kind: z.enum(['counts', 'step', 'taken-back']),
  service: z.string(),
  startedAt: z.number(),
  data: z.unknown()
})

/** A take-back goes out at once, before anything that can wait its turn. */
const TOPIC_OF: Readonly<Record<MoveNews['kind'], Topic>> = { counts: 'evidence', step: 'evidence', 'taken-back': 'latch' }
const TOPICS: readonly Topic[] = ['evidence', 'latch']

export interface EvidenceLinkOptions {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly clock: Clock
  readonly peers: Peers
}

interface Published {
  at: Millis
  /** Bytes of the newest publication, as JSON. */
  size: number
  adverse: number
}

const adverseOf = (counts: EvidenceCounts): number => {
  let sum = 0
  for (const { new: fresh } of counts.routes) sum += fresh.failed + fresh.lost
  return sum
}

/**
 * Carries evidence, recorded steps and take-backs between instances as published entries.
 *
 * @example
 * link.onNews((news) => { if (news.kind === 'taken-back') latch(news) })
 */
export class EvidenceLink {
  readonly #options: EvidenceLinkOptions
  readonly #published = new Map<ServiceId, Published>()

  constructor (options: EvidenceLinkOptions) {
    this.#options = options
  }

  onNews (listener: (news: MoveNews) => void): void {
    for (const topic of TOPICS) {
      this.#options.peers.onEntry(topic, (entry) => {
        const news = this.#read(entry)
        if (news !== undefined) listener(news)
      })
    }
  }

  /** What peers have told so far. */
  known (): readonly MoveNews[] {
    const entries = TOPICS.flatMap((topic) => this.#options.peers.entries(topic))
    return entries.map((entry) => this.#read(entry)).filter((news) => news !== undefined)
  }

  /** Publishes this instance's counts when they are due: at once where calls to the new version failed. */
  publishCounts (open: OpenMove): void {
    const { clock } = this.#options
    const last = this.#published.get(open.move.service)
    const adverse = adverseOf(open.own)
    const isUrgent = adverse > (last?.adverse ?? 0)
    if (!isUrgent && last !== undefined && clock.now() - last.at < this.#period(last.size)) return
    const data = open.own.toJson()
    this.#published.set(open.move.service, { at: clock.now(), size: JSON.stringify(data).length, adverse })
    this.#publish('counts', open.move, data)
  }

  publishStep (move: MoveSettings, row: RecordedMove): void {
    if (row.record !== undefined) this.#publish('step', move, { version: row.version, record: row.record })
  }

  publishTakeBack (move: MoveSettings, because: string): void {
    this.#publish('taken-back', move, because)
  }

  forget (service: ServiceId): void {
    this.#published.delete(service)
  }

  #publish (kind: MoveNews['kind'], { service, startedAt }: MoveSettings, data: Json): void {
    this.#options.peers.publish(TOPIC_OF[kind], `${kind}/${service}/${startedAt}`, { kind, service, startedAt, data })
  }

  /** Rarer with more peers and larger evidence, so that the bytes sent stay within their limit. */
  #period (size: number): number {
    const receivers = this.#options.peers.members().length
    return Math.max(PUBLISH_PERIOD, receivers * size / EVIDENCE_BYTES_PER_SECOND * MILLIS_PER_SECOND)
  }

  #read (entry: GossipEntry): MoveNews | undefined {
    const parsed = newsSchema.safeParse(entry.value)
    if (!parsed.success) return undefined
    const { kind, startedAt, data } = parsed.data
    const service = brand<ServiceId>(parsed.data.service)
    return READERS[kind]({ entry, service, startedAt, data, isOwn: this.#isOwn(entry) })
  }

  #isOwn (entry: GossipEntry): boolean {
    return entry.owner === this.#options.self && entry.incarnation === this.#options.incarnation
  }
}

interface Reading {
  readonly entry: GossipEntry
  readonly service: ServiceId
  readonly startedAt: number
  readonly data: unknown
  readonly isOwn: boolean
}

const READERS: Readonly<Record<MoveNews['kind'], (reading: Reading) => MoveNews | undefined>> = {
  counts: ({ entry, service, startedAt, data, isOwn }) => {
    const counts = isOwn ? undefined : EvidenceCounts.fromJson(data)
    return counts === undefined ? undefined : { kind: 'counts', service, startedAt, life: `${entry.owner} ${entry.incarnation}`, counts }
  },
  step: ({ service, data }) => {
    const row = parseRecordedMove(data)
    return row === undefined ? undefined : { kind: 'step', service, row }
  },
  'taken-back': ({ service, startedAt, data }) => ({ kind: 'taken-back', service, startedAt, because: String(data) })
}

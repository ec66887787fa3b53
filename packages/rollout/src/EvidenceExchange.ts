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

/** A message about a move from a peer. */
export type MoveMessage =
  | { readonly kind: 'counts', readonly service: ServiceId, readonly startedAt: number, readonly source: string, readonly counts: EvidenceCounts }
  | { readonly kind: 'step', readonly service: ServiceId, readonly row: RecordedMove }
  | { readonly kind: 'taken-back', readonly service: ServiceId, readonly startedAt: number, readonly because: string }

const messageSchema = z.object({
  kind: z.enum(['counts', 'step', 'taken-back']),
  service: z.string(),
  startedAt: z.number(),
  data: z.unknown()
})

/** Rollbacks use the `latch` topic, which is sent immediately; the rest uses the paced `evidence` topic. */
const TOPIC_OF: Readonly<Record<MoveMessage['kind'], Topic>> = { counts: 'evidence', step: 'evidence', 'taken-back': 'latch' }
const TOPICS: readonly Topic[] = ['evidence', 'latch']

export interface EvidenceExchangeOptions {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly clock: Clock
  readonly peers: Peers
}

interface PublishedCounts {
  at: Millis
  /** JSON size of the newest publication, in bytes. */
  size: number
  adverse: number
}

const countAdverse = (counts: EvidenceCounts): number => {
  let sum = 0
  for (const { new: newCounts } of counts.routes) sum += newCounts.failed + newCounts.lost
  return sum
}

/**
 * Exchanges evidence, recorded steps and rollbacks between instances through gossip entries.
 *
 * @example
 * exchange.onMessage((message) => { if (message.kind === 'taken-back') rollBack(message) })
 */
export class EvidenceExchange {
  readonly #options: EvidenceExchangeOptions
  readonly #published = new Map<ServiceId, PublishedCounts>()

  constructor (options: EvidenceExchangeOptions) {
    this.#options = options
  }

  onMessage (listener: (message: MoveMessage) => void): void {
    for (const topic of TOPICS) {
      this.#options.peers.onEntry(topic, (entry) => {
        const message = this.#read(entry)
        if (message !== undefined) listener(message)
      })
    }
  }

  /** All messages that peers have published so far. */
  receivedMessages (): readonly MoveMessage[] {
    const entries = TOPICS.flatMap((topic) => this.#options.peers.entries(topic))
    return entries.map((entry) => this.#read(entry)).filter((message) => message !== undefined)
  }

  /** Publishes this instance's counts if the period has passed, or at once if more calls to the new version failed. */
  publishCounts (open: OpenMove): void {
    const { clock } = this.#options
    const last = this.#published.get(open.move.service)
    const adverse = countAdverse(open.own)
    const isUrgent = adverse > (last?.adverse ?? 0)
    if (!isUrgent && last !== undefined && clock.now() - last.at < this.#period(last.size)) return
    const data = open.own.toJson()
    this.#published.set(open.move.service, { at: clock.now(), size: JSON.stringify(data).length, adverse })
    this.#publish('counts', open.move, data)
  }

  publishStep (move: MoveSettings, row: RecordedMove): void {
    if (row.record !== undefined) this.#publish('step', move, { version: row.version, record: row.record })
  }

  publishRollback (move: MoveSettings, because: string): void {
    this.#publish('taken-back', move, because)
  }

  forget (service: ServiceId): void {
    this.#published.delete(service)
  }

  #publish (kind: MoveMessage['kind'], { service, startedAt }: MoveSettings, data: Json): void {
    this.#options.peers.publish(TOPIC_OF[kind], `${kind}/${service}/${startedAt}`, { kind, service, startedAt, data })
  }

  /** Grows with the number of peers and the size of the evidence to stay within {@link EVIDENCE_BYTES_PER_SECOND}. */
  #period (size: number): number {
    const receivers = this.#options.peers.members().length
    return Math.max(PUBLISH_PERIOD, receivers * size / EVIDENCE_BYTES_PER_SECOND * MILLIS_PER_SECOND)
  }

  #read (entry: GossipEntry): MoveMessage | undefined {
    const parsed = messageSchema.safeParse(entry.value)
    if (!parsed.success) return undefined
    const { kind, startedAt, data } = parsed.data
    const service = brand<ServiceId>(parsed.data.service)
    return READERS[kind]({ entry, service, startedAt, data, isOwn: this.#isOwn(entry) })
  }

  #isOwn (entry: GossipEntry): boolean {
    return entry.owner === this.#options.self && entry.incarnation === this.#options.incarnation
  }
}

interface EntryContext {
  readonly entry: GossipEntry
  readonly service: ServiceId
  readonly startedAt: number
  readonly data: unknown
  readonly isOwn: boolean
}

const READERS: Readonly<Record<MoveMessage['kind'], (context: EntryContext) => MoveMessage | undefined>> = {
  counts: ({ entry, service, startedAt, data, isOwn }) => {
    const counts = isOwn ? undefined : EvidenceCounts.fromJson(data)
    return counts === undefined ? undefined : { kind: 'counts', service, startedAt, source: `${entry.owner} ${entry.incarnation}`, counts }
  },
  step: ({ service, data }) => {
    const row = parseRecordedMove(data)
    return row === undefined ? undefined : { kind: 'step', service, row }
  },
  'taken-back': ({ service, startedAt, data }) => ({ kind: 'taken-back', service, startedAt, because: String(data) })
}

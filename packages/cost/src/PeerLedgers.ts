import { hash32 } from '@papayahill/common'
import type { Clock, Incarnation, InstanceId, Json, Millis } from '@papayahill/common'
import type { GossipEntry, Peers } from '@papayahill/peers'
import type { RowKey } from '@papayahill/platform'
import { z } from 'zod'
import { RECOVER_AFTER, RECOVER_TURN } from './constants.js'
import type { Chunk } from './Ledger.js'
import { ledgerRowKey } from './LedgerStore.js'
import type { LedgerStore } from './LedgerStore.js'
import { LineSet } from './LineSet.js'

const shownSchema = z.object({ day: z.string(), chunk: z.number(), lines: z.unknown() })

/** Unrecorded lines that an instance has shown to its peers. */
export interface ShownLines {
  readonly day: string
  readonly row: RowKey
  readonly lines: LineSet
}

export interface PeerLedgersOptions {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly clock: Clock
  readonly peers: Peers
}

const entryId = (entry: GossipEntry): string => `${entry.key} ${entry.sequence}`

/**
 * Unrecorded work of all instances, as they publish it. Where one is gone, the first peer in an order
 * that all agree on records its part; the others wait their turn and find it done.
 *
 * @example
 * ledgers.show(chunk)
 * await ledgers.recover(store)
 */
export class PeerLedgers {
  readonly #options: PeerLedgersOptions
  readonly #missingSince = new Map<Incarnation, Millis>()
  readonly #recovered = new Set<string>()

  constructor (options: PeerLedgersOptions) {
    this.#options = options
  }

  show (chunk: Chunk): void {
    const { peers, incarnation } = this.#options
    const value = { day: chunk.day, chunk: chunk.index, lines: [...chunk.show()] }
    peers.publish('cost', `${incarnation}/${chunk.day}/${chunk.index}`, value as Json)
  }

  /** What others have shown; this instance's own part is in its ledger. */
  shown (): readonly ShownLines[] {
    return this.#entries().map((entry) => readShown(entry)).filter((shown) => shown !== undefined)
  }

  /** Records the parts of instances that are gone; how many lines there were. */
  async recover (store: LedgerStore): Promise<number> {
    let count = 0
    this.#noteMissing()
    for (const entry of this.#entries()) {
      if (!this.#isMyTurn(entry) || this.#recovered.has(entryId(entry))) continue
      const shown = readShown(entry)
      if (shown === undefined || shown.lines.size === 0) continue
      if (await store.raise(shown.row, shown.lines, 0) === undefined) continue
      this.#recovered.add(entryId(entry))
      count += shown.lines.size
    }
    return count
  }

  #entries (): readonly GossipEntry[] {
    const { peers, incarnation } = this.#options
    return peers.entries('cost').filter((entry) => entry.incarnation !== incarnation)
  }

  #noteMissing (): void {
    const { peers, clock } = this.#options
    const present = new Set(peers.members().map((member) => member.incarnation))
    for (const { incarnation } of this.#entries()) {
      if (present.has(incarnation)) this.#missingSince.delete(incarnation)
      else if (!this.#missingSince.has(incarnation)) this.#missingSince.set(incarnation, clock.now())
    }
  }

  #isMyTurn ({ incarnation }: GossipEntry): boolean {
    const { clock, peers, self } = this.#options
    const since = this.#missingSince.get(incarnation)
    if (since === undefined) return false
    const place = hash32(`${incarnation} ${self}`)
    const before = peers.members().filter(({ id }) => hash32(`${incarnation} ${id}`) < place).length
    return clock.now() - since >= RECOVER_AFTER + before * RECOVER_TURN
  }
}

const readShown = ({ incarnation, value }: GossipEntry): ShownLines | undefined => {
  const parsed = shownSchema.safeParse(value)
  if (!parsed.success) return undefined
  const { day, chunk, lines } = parsed.data
  return { day, row: ledgerRowKey(day, incarnation, chunk), lines: LineSet.parse(lines) }
}

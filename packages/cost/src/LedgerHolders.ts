import { hash32 } from '@papayahill/common'
import type { Incarnation, InstanceId, Json } from '@papayahill/common'
import type { Peers } from '@papayahill/peers'
import type { RowKey } from '@papayahill/stores'
import { HELD, HOLD_TIMEOUT, HOLDER_COUNT, UNKNOWN } from './constants.js'
import type { HoldFrame } from './holdFrame.js'
import { HoldWriter } from './HoldWriter.js'
import type { Chunk, Ledger } from './Ledger.js'
import type { PackedLine } from './LedgerLine.js'
import { ledgerRowKey } from './LedgerStore.js'

/** Lines of one row that the table may not hold yet. */
export interface HeldRow {
  readonly row: RowKey
  readonly lines: readonly PackedLine[]
}

/**
 * What instances say to each other about unrecorded work.
 * - a {@link HoldFrame}: keep these lines of my life, beside those you hold; answered with whether all was known.
 * - `recorded`: of this row, only these lines are still unrecorded.
 * - `collect`: what unrecorded lines do you know of?
 */
export type HoldMessage =
  | HoldFrame
  | { readonly kind: 'recorded', readonly life: Incarnation, readonly rows: readonly HeldRow[] }
  | { readonly kind: 'collect' }

export interface LedgerHoldersOptions {
  readonly self: InstanceId
  readonly incarnation: Incarnation
  readonly peers: Peers
  readonly ledger: Ledger
}

/**
 * Has a few peers hold this life's unrecorded work, so that its death hides next to nothing. A peer that is
 * new in this, or did not answer, is sent all of it again.
 *
 * @example
 * ledger.count(metered)
 * holders.show()
 */
export class LedgerHolders {
  readonly #options: LedgerHoldersOptions
  /** Lives of peers that hold all unrecorded lines shown so far. */
  readonly #inStep = new Map<Incarnation, HoldWriter>()
  #sessions = 0

  constructor (options: LedgerHoldersOptions) {
    this.#options = options
  }

  /** Shows the holders what grew since the last time. */
  show (): void {
    const rows = this.#rows((chunk) => chunk.takeUnshown())
    const holders = this.#chosen()
    for (const life of this.#inStep.keys()) if (!holders.some(({ incarnation }) => incarnation === life)) this.#inStep.delete(life)
    for (const { id, incarnation } of holders) {
      if (this.#inStep.get(incarnation)?.isFull === true) this.#inStep.delete(incarnation)
      const isInStep = this.#inStep.has(incarnation)
      void this.#hold(id, incarnation, isInStep ? rows : this.unrecorded())
    }
  }

  /** A row was written: holders may let go of it. */
  recorded (chunk: Chunk): void {
    const { peers, incarnation: life } = this.#options
    const message: HoldMessage = { kind: 'recorded', life, rows: [this.#rowOf(chunk, chunk.unrecorded())] }
    for (const { id } of this.#chosen()) peers.send(id, 'cost', message as unknown as Json)
  }

  /** All lines of this life that the table may not hold yet. */
  unrecorded (): readonly HeldRow[] {
    return this.#rows((chunk) => chunk.unrecorded())
  }

  async #hold (to: InstanceId, holder: Incarnation, rows: readonly HeldRow[]): Promise<void> {
    if (rows.length === 0) return
    const { peers, incarnation: life } = this.#options
    const writer = this.#inStep.get(holder) ?? new HoldWriter(life, this.#sessions++)
    this.#inStep.set(holder, writer)
    const wasOpening = writer.isOpening
    const { frame, size } = writer.write(rows)
    const answer = await peers.ask(to, 'cost', frame as unknown as Json, HOLD_TIMEOUT)
    if (answer.isOk && answer.value === HELD) return writer.confirm(size)
    if (this.#inStep.get(holder) !== writer) return
    this.#inStep.delete(holder)
    // Where even a frame with all names was not read, sending it again at once would not help.
    if (wasOpening) return
    // A holder that lacks names is there and is sent all at once; one that did not answer, with the next lines.
    if (answer.isOk && answer.value === UNKNOWN) await this.#hold(to, holder, this.unrecorded())
  }

  /** The first peers in an order of this life's own. */
  #chosen (): ReadonlyArray<{ readonly id: InstanceId, readonly incarnation: Incarnation }> {
    const { peers, self, incarnation: life } = this.#options
    const place = (id: InstanceId): number => hash32(`${life} ${id}`)
    const others = peers.members().filter(({ id }) => id !== self && peers.isConnected(id))
    return others.sort((left, right) => place(left.id) - place(right.id)).slice(0, HOLDER_COUNT)
  }

  #rows (linesOf: (chunk: Chunk) => readonly PackedLine[]): readonly HeldRow[] {
    return this.#options.ledger.chunks.map((chunk) => this.#rowOf(chunk, linesOf(chunk))).filter(({ lines }) => lines.length > 0)
  }

  #rowOf (chunk: Chunk, lines: readonly PackedLine[]): HeldRow {
    return { row: ledgerRowKey(chunk.day, this.#options.incarnation, chunk.index), lines }
  }
}

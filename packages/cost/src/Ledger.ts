import type { StageUsage } from '@papayahill/common'
import { CHUNK_LINES, MAX_LINES } from './constants.js'
import { countCall, lineKey, packLine } from './LedgerLine.js'
import type { LedgerLineId, PackedLine } from './LedgerLine.js'
import { LineSet } from './LineSet.js'

/** What one call adds to the ledger. */
export interface MeteredCall {
  readonly day: string
  readonly hour: number
  readonly id: LedgerLineId
  readonly usage: StageUsage
  readonly cost: number
}

/** A part of one day's lines that is stored as one row of the table. */
export class Chunk {
  readonly day: string
  readonly index: number
  readonly lines = new LineSet()
  /** Last known version of the row; 0 before the first write. */
  rowVersion = 0
  /** Lines that may not be recorded in the table yet. */
  readonly #unrecorded = new Set<string>()
  /** Lines that the write in progress is going to record. */
  #writing: ReadonlySet<string> = new Set()
  /** Lines that changed since they were last sent to the backup peers. */
  readonly #notBackedUp = new Set<string>()

  constructor (day: string, index: number) {
    this.day = day
    this.index = index
  }

  get isRecorded (): boolean {
    return this.#unrecorded.size + this.#writing.size === 0
  }

  count ({ id, usage, cost, hour }: MeteredCall): void {
    const key = lineKey(id)
    countCall(this.lines.getOrCreate(id), usage, cost, hour)
    this.#unrecorded.add(key)
    this.#notBackedUp.add(key)
  }

  unrecorded (): readonly PackedLine[] {
    return this.#pack(new Set([...this.#unrecorded, ...this.#writing]))
  }

  /** Returns the lines that changed since the last call. */
  takeNotBackedUp (): readonly PackedLine[] {
    const lines = this.#pack(this.#notBackedUp)
    this.#notBackedUp.clear()
    return lines
  }

  /** Marks the start of a write of all lines. */
  beginWrite (): void {
    this.#writing = new Set(this.#unrecorded)
    this.#unrecorded.clear()
  }

  /** Marks the end of a write. Without a version it failed, and its lines are still unrecorded. */
  endWrite (version: number | undefined): void {
    if (version === undefined) for (const key of this.#writing) this.#unrecorded.add(key)
    else this.rowVersion = version
    this.#writing = new Set()
  }

  #pack (keys: ReadonlySet<string>): readonly PackedLine[] {
    return [...keys].map((key) => packLine(this.lines.get(key)!))
  }
}

/**
 * Work metered by this incarnation of the instance, by day, in chunks that are stored as one row each. A line stays
 * in its chunk. Once a chunk is recorded and there are too many lines, the chunk is dropped, and new work for its
 * lines starts again from 0 in another chunk. This bounds memory, however many workspaces there are.
 *
 * @example
 * const ledger = new Ledger()
 * ledger.count({ day, hour, id, usage, cost })
 */
export class Ledger {
  readonly #chunks: Chunk[] = []
  readonly #chunkOfLine = new Map<string, Chunk>()
  #nextIndex = 0

  get chunks (): readonly Chunk[] {
    return this.#chunks
  }

  get lineCount (): number {
    return this.#chunkOfLine.size
  }

  count (metered: MeteredCall): void {
    const key = `${metered.day} ${lineKey(metered.id)}`
    const chunk = this.#chunkOfLine.get(key) ?? this.#chunkFor(metered.day)
    this.#chunkOfLine.set(key, chunk)
    chunk.count(metered)
  }

  /** Drops recorded chunks: those of past days, and the oldest ones if there are too many lines. */
  trim (today: string): void {
    for (const chunk of [...this.#chunks]) {
      const isPast = chunk.day < today
      if (chunk.isRecorded && (isPast || this.lineCount > MAX_LINES)) this.#drop(chunk)
    }
  }

  #chunkFor (day: string): Chunk {
    const newest = this.#chunks[this.#chunks.length - 1]
    if (newest?.day === day && newest.lines.size < CHUNK_LINES) return newest
    const chunk = new Chunk(day, this.#nextIndex++)
    this.#chunks.push(chunk)
    return chunk
  }

  #drop (chunk: Chunk): void {
    this.#chunks.splice(this.#chunks.indexOf(chunk), 1)
    for (const { id } of chunk.lines.lines) this.#chunkOfLine.delete(`${chunk.day} ${lineKey(id)}`)
  }
}

import { isJsonObject, millis } from '@papayahill/common'
import type { Json, Millis } from '@papayahill/common'
import type { TableChanges } from './TableCopy.js'
import type { TableSummary } from './TableView.js'
import type { RetainedRow, StorePosition, TableRow } from './types.js'

/** How current one instance's copy of a table is. */
export interface TableStatus extends TableSummary {
  readonly table: string
  /** Time since the store confirmed the position. */
  readonly answerAge: Millis
}

/** Changed rows that one instance sends to another. */
export interface RelayedChanges {
  readonly table: string
  readonly changes: TableChanges
  readonly answerAge: Millis
  /** Length of an outage of the store that ended just before these changes; 0 if there was none. */
  readonly outage: Millis
}

/** Messages between instances about watched tables. */
export type TableMessage =
  | { readonly kind: 'status', readonly statuses: readonly TableStatus[] }
  | { readonly kind: 'changes', readonly relayed: RelayedChanges }
  /** Requests the changes after a position; without one, the whole table. */
  | { readonly kind: 'fetch', readonly table: string, readonly after: StorePosition | undefined }

const STATUS = 0
const CHANGES = 1
const FETCH = 2
/** Marks a retained row as a removal. */
const REMOVAL = 0

const packRetained = ({ key, value, last, after, until }: RetainedRow): Json =>
  [key, after, Math.max(0, Math.round(until)), last, ...(value === undefined ? [REMOVAL] : [])]

/** Retained rows carry the time left, not the sender's clock. */
const packChanges = ({ table, changes: { era, after, revision, rows, base, retained }, answerAge, outage }: RelayedChanges): Json => [
  CHANGES, table, after ?? null, revision, base ?? null, Math.round(answerAge), Math.round(outage),
  rows.map((row) => row.value === undefined ? [row.key, row.revision] : [row.key, row.revision, row.value]),
  era, (retained ?? []).map(packRetained)
]

/** The age stands twice: earlier versions read the age of a watcher's last sign of life in the first place. */
const packStatus = ({ table, era, revision, digest, retained, answerAge }: TableStatus): Json =>
  [table, revision, digest, Math.round(answerAge), Math.round(answerAge), era, retained]

/** Encodes a message compactly, without field names. */
export const packTableMessage = (message: TableMessage): Json => {
  if (message.kind === 'changes') return packChanges(message.relayed)
  if (message.kind === 'fetch') return [FETCH, message.table, message.after?.revision ?? null, message.after?.era ?? 0]
  return [STATUS, ...message.statuses.map(packStatus)]
}

const isCount = (value: Json | undefined): value is number => typeof value === 'number' && Number.isFinite(value) && value >= 0

const isOptionalCount = (value: Json | undefined): value is number | null => value === null || isCount(value)

/** Earlier versions name no era and retain nothing. */
const statusOf = (packed: Json): TableStatus | undefined => {
  if (!Array.isArray(packed)) return undefined
  const [table, revision, digest, , answerAge, era = 0, retained = 0] = packed as readonly Json[]
  if (typeof table !== 'string' || !isCount(revision) || !isCount(digest) || !isCount(era) || !isCount(retained)) return undefined
  if (!isCount(answerAge)) return undefined
  return { table, era, revision, digest, retained, answerAge: millis(answerAge) }
}

const retainedOf = (packed: Json): RetainedRow | undefined => {
  if (!Array.isArray(packed)) return undefined
  const [key, after, timeLeft, last, removal] = packed as readonly Json[]
  if (typeof key !== 'string' || !isCount(after) || !isCount(timeLeft) || last === undefined) return undefined
  return { key, after, until: millis(timeLeft), last, value: removal === undefined ? last : undefined }
}

const rowOf = (packed: Json): TableRow<Json> | undefined => {
  if (!Array.isArray(packed)) return undefined
  const [key, revision, value] = packed as readonly Json[]
  return typeof key === 'string' && isCount(revision) ? { key, revision, value: packed.length > 2 ? value : undefined } : undefined
}

/** All items, decoded; undefined if one is malformed. */
const readAll = <Item>(packed: readonly Json[], read: (item: Json) => Item | undefined): readonly Item[] | undefined => {
  const items = packed.map(read)
  return items.every((item) => item !== undefined) ? items as readonly Item[] : undefined
}

const changesOf = (fields: readonly Json[]): TableMessage | undefined => {
  const [table, after, revision, base, answerAge, outage, packedRows, era = 0, packedRetained = []] = fields
  const rows = Array.isArray(packedRows) ? readAll(packedRows, rowOf) : undefined
  const retained = Array.isArray(packedRetained) ? readAll(packedRetained, retainedOf) : undefined
  if (typeof table !== 'string' || !isOptionalCount(after) || !isOptionalCount(base)) return undefined
  if (rows === undefined || retained === undefined) return undefined
  if (!isCount(era) || !isCount(revision) || !isCount(answerAge) || !isCount(outage)) return undefined
  const changes = { era, after: after ?? undefined, revision, rows, base: base ?? undefined, retained }
  return { kind: 'changes', relayed: { table, changes, answerAge: millis(answerAge), outage: millis(outage) } }
}

/** Decodes a message; undefined if it is malformed. */
export const unpackTableMessage = (packed: Json): TableMessage | undefined => {
  if (!Array.isArray(packed) || isJsonObject(packed)) return undefined
  const [kind, ...fields] = packed as readonly Json[]
  if (kind === CHANGES) return changesOf(fields)
  if (kind === FETCH) {
    const [table, revision, era = 0] = fields
    if (typeof table !== 'string' || !isOptionalCount(revision) || !isCount(era)) return undefined
    return { kind: 'fetch', table, after: revision === null ? undefined : { era, revision } }
  }
  const statuses = kind === STATUS ? readAll(fields, statusOf) : undefined
  return statuses === undefined ? undefined : { kind: 'status', statuses }
}

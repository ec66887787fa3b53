import { isJsonObject, millis } from '@papayahill/common'
import type { Json, Millis } from '@papayahill/common'
import type { TableChanges } from './TableCopy.js'
import type { TableRow } from './types.js'

/** How current one instance's copy of a table is. */
export interface TableStatus {
  readonly table: string
  readonly revision: number
  /** Hash over all rows. */
  readonly digest: number
  /** Time since some watcher was known to follow the table. */
  readonly statusAge: Millis
  /** Time since the store confirmed the revision. */
  readonly answerAge: Millis
}

/** Changed rows on their way from instance to instance. */
export interface RelayedChanges {
  readonly table: string
  readonly changes: TableChanges
  readonly answerAge: Millis
  /** Time for which the store could not be read before these changes, where it just came back. */
  readonly outage: Millis
}

/** What instances say to each other about watched tables. */
export type TableMessage =
  | { readonly kind: 'status', readonly statuses: readonly TableStatus[] }
  | { readonly kind: 'changes', readonly relayed: RelayedChanges }
  /** Asks for what changed after a revision; without one, for the whole table. */
  | { readonly kind: 'fetch', readonly table: string, readonly after: number | undefined }

const STATUS = 0
const CHANGES = 1
const FETCH = 2

const packChanges = ({ table, changes: { after, revision, rows, base }, answerAge, outage }: RelayedChanges): Json => [
  CHANGES, table, after ?? null, revision, base ?? null, Math.round(answerAge), Math.round(outage),
  rows.map((row) => row.value === undefined ? [row.key, row.revision] : [row.key, row.revision, row.value])
]

/** Writes a message compactly, without names of fields. */
export const packTableMessage = (message: TableMessage): Json => {
  if (message.kind === 'changes') return packChanges(message.relayed)
  if (message.kind === 'fetch') return [FETCH, message.table, message.after ?? null]
  return [STATUS, ...message.statuses.map(({ table, revision, digest, statusAge, answerAge }) =>
    [table, revision, digest, Math.round(statusAge), Math.round(answerAge)])]
}

const isCount = (value: Json | undefined): value is number => typeof value === 'number' && Number.isFinite(value) && value >= 0

const isOptional = (value: Json | undefined): value is number | null => value === null || isCount(value)

const statusOf = (packed: Json): TableStatus | undefined => {
  if (!Array.isArray(packed)) return undefined
  const [table, revision, digest, statusAge, answerAge] = packed as readonly Json[]
  if (typeof table !== 'string' || !isCount(revision) || !isCount(digest) || !isCount(statusAge) || !isCount(answerAge)) return undefined
  return { table, revision, digest, statusAge: millis(statusAge), answerAge: millis(answerAge) }
}

const rowOf = (packed: Json): TableRow<Json> | undefined => {
  if (!Array.isArray(packed)) return undefined
  const [key, revision, value] = packed as readonly Json[]
  return typeof key === 'string' && isCount(revision) ? { key, revision, value: packed.length > 2 ? value : undefined } : undefined
}

/** All of the items read; undefined where one cannot be. */
const allOf = <Item>(packed: readonly Json[], read: (one: Json) => Item | undefined): readonly Item[] | undefined => {
  const items = packed.map(read)
  return items.every((item) => item !== undefined) ? items as readonly Item[] : undefined
}

const changesOf = ([table, after, revision, base, answerAge, outage, packedRows]: readonly Json[]): TableMessage | undefined => {
  const rows = Array.isArray(packedRows) ? allOf(packedRows, rowOf) : undefined
  if (typeof table !== 'string' || !isOptional(after) || !isOptional(base) || rows === undefined) return undefined
  if (!isCount(revision) || !isCount(answerAge) || !isCount(outage)) return undefined
  const changes = { after: after ?? undefined, revision, rows, base: base ?? undefined }
  return { kind: 'changes', relayed: { table, changes, answerAge: millis(answerAge), outage: millis(outage) } }
}

/** Reads a message; undefined where it is none. */
export const unpackTableMessage = (packed: Json): TableMessage | undefined => {
  if (!Array.isArray(packed) || isJsonObject(packed)) return undefined
  const [kind, ...fields] = packed as readonly Json[]
  if (kind === CHANGES) return changesOf(fields)
  if (kind === FETCH) {
    const [table, after] = fields
    return typeof table === 'string' && isOptional(after) ? { kind: 'fetch', table, after: after ?? undefined } : undefined
  }
  const statuses = kind === STATUS ? allOf(fields, statusOf) : undefined
  return statuses === undefined ? undefined : { kind: 'status', statuses }
}

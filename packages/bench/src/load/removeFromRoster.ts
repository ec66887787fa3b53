import { isJsonObject } from '@papayahill/common'
import type { EpochMillis, Incarnation, Json, JsonObject } from '@papayahill/common'
import type { RowKey, TableService } from '@papayahill/stores'

const ROSTER_ROW = 'roster' as RowKey

const lives = (record: JsonObject, name: string): readonly JsonObject[] => {
  const value = record[name]
  return Array.isArray(value) ? value.filter(isJsonObject) : []
}

/** The record without a life, which is kept among the departed. */
const without = (record: JsonObject, incarnation: Incarnation, wall: EpochMillis): JsonObject => {
  const version = Number(record['version']) + 1
  const gone = lives(record, 'members').filter((life) => life['incarnation'] === incarnation)
  return {
    ...record,
    version,
    members: lives(record, 'members').filter((life) => !gone.includes(life)),
    departed: [...lives(record, 'departed'), ...gone.map((life) => ({ ...life, departedAt: version, leftAt: wall }))]
  }
}

/**
 * Removes a life from the roster row, as another instance that could not hear it does in the end.
 *
 * @example
 * await removeFromRoster(table, member.self.incarnation, clock.wall())
 */
export const removeFromRoster = async (table: TableService, incarnation: Incarnation, wall: EpochMillis): Promise<void> => {
  const read = await table.read([ROSTER_ROW])
  const row = read.isOk ? read.value[0] : undefined
  const record: Json = row?.value ?? null
  if (row === undefined || !isJsonObject(record)) return
  if (!lives(record, 'members').some((life) => life['incarnation'] === incarnation)) return
  const written = await table.commit({
    conditions: [{ key: ROSTER_ROW, version: row.version }],
    writes: [{ key: ROSTER_ROW, value: without(record, incarnation, wall) }]
  })
  if (written.isErr && written.error.kind === 'conflict') await removeFromRoster(table, incarnation, wall)
}

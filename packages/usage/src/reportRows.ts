import { isJsonObject } from '@papayahill/common'
import type { Json, JsonObject, WorkspaceId } from '@papayahill/common'
import type { DutyRow } from '@papayahill/duties'
import { MAX_ROW_BYTES } from './constants.js'
import type { UsageReport } from './types.js'
import { decodeCounts, encodeCounts } from './usageMessages.js'

const PREFIX = 'usage/'
/** Bytes of JSON that a count takes beside the name: its digits, quotes and commas. */
const COUNT_BYTES = 16

/** A report in the store. */
export interface StoredReport {
  readonly window: number
  /** Undefined where it cannot be read. */
  readonly report: UsageReport | undefined
  /** All windows up to this one were accepted when it was written; -1 where that was not known. */
  readonly accepted: number
  /** Its rows; a report that is too large for one is split. */
  readonly keys: readonly string[]
  /** Revision of its first row. */
  readonly revision: number
}

/** Key of a report's first row. */
export const reportKey = (window: number): string => `${PREFIX}${window}`

const splitCounts = (counts: UsageReport['counts']): ReadonlyArray<ReadonlyMap<WorkspaceId, number>> => {
  const parts: Array<Map<WorkspaceId, number>> = [new Map()]
  let size = 0
  for (const [workspace, count] of counts) {
    const added = Buffer.byteLength(JSON.stringify(workspace)) + COUNT_BYTES
    if (size + added > MAX_ROW_BYTES - COUNT_BYTES * 8) {
      parts.push(new Map())
      size = 0
    }
    parts.at(-1)!.set(workspace, count)
    size += added
  }
  return parts
}

/** The rows of a report. */
export const rowsOf = ({ window, counts }: UsageReport, accepted: number): ReadonlyArray<Readonly<{ key: string, value: Json }>> => {
  const parts = splitCounts(counts)
  return parts.map((part, at): { key: string, value: Json } => at === 0
    ? { key: reportKey(window), value: { accepted, parts: parts.length, counts: encodeCounts(part) } }
    : { key: `${reportKey(window)}/${at}`, value: { counts: encodeCounts(part) } })
}

const reportOf = (window: number, head: JsonObject, parts: readonly JsonObject[]): UsageReport | undefined => {
  if (parts.length !== (head.parts ?? 1)) return undefined
  try {
    return { window, counts: new Map(parts.flatMap((part) => [...decodeCounts(part.counts)])) }
  } catch {
    return undefined
  }
}

/** The reports among the rows of the duties' table, in order of their windows. */
export const reportsIn = (rows: readonly DutyRow[]): readonly StoredReport[] => {
  const byWindow = new Map<number, Map<number, DutyRow>>()
  for (const row of rows) {
    const match = /^usage\/(\d+)(?:\/(\d+))?$/.exec(row.key)
    if (match === null || row.revision === 0) continue
    const window = Number(match[1])
    const parts = byWindow.get(window) ?? new Map<number, DutyRow>()
    byWindow.set(window, parts.set(Number(match[2] ?? 0), row))
  }
  const stored = [...byWindow].map(([window, parts]): StoredReport => {
    const ordered = [...parts].sort(([one], [other]) => one - other).map(([, row]) => row)
    const values = ordered.map(({ value }) => value).filter(isJsonObject)
    const head = parts.get(0)?.value
    const isReadable = isJsonObject(head) && values.length === ordered.length
    return {
      window,
      report: isReadable ? reportOf(window, head, values) : undefined,
      accepted: isJsonObject(head) && typeof head.accepted === 'number' ? head.accepted : -1,
      keys: ordered.map(({ key }) => key),
      revision: parts.get(0)?.revision ?? 0
    }
  })
  return stored.sort((one, other) => one.window - other.window)
}

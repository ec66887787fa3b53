import type { RowKey } from '@papayahill/stores'
import { z } from 'zod'
import type { PackedLine } from './LedgerLine.js'

const MAX_HOUR = 23
const HOURS_PER_DAY = 24
/** Number of counters of a line that precede its hours. */
const COUNTERS = 6
const COUNTER_INDEXES = [...Array(COUNTERS).keys()]
const COST = COUNTERS - 1
const HAS_REMAINDER = 1 << COUNTERS
const MAX_FLAGS = 2 * HAS_REMAINDER - 1
const hourSchema = z.int().min(0).max(MAX_HOUR)
const count = z.number().nonnegative()
const index = z.int().nonnegative()
/** Class, stage, service and use of a line. */
const lineKindSchema = z.tuple([z.string(), z.string(), z.string(), z.string()])
const entrySchema = z.union([z.string(), lineKindSchema])
/**
 * Index of the workspace, index of the line kind, flags, the counters whose flags are set, then pairs of hour and
 * cost. If the flag after those of the counters is set, the remaining cost belongs to the frame's hour.
 */
const wireLineSchema = z.tuple([index, index, z.int().min(0).max(MAX_FLAGS)]).rest(count)

/** Lines of one row that may not be recorded in the table yet. */
export interface BackupRow {
  readonly row: RowKey
  readonly lines: readonly PackedLine[]
}

/**
 * Unrecorded lines as sent to a backup peer: the session, the number of entries that the peer has confirmed, the
 * entries after those, the newest hour of any line, and for each row its lines as indexes of entries and counters.
 */
export const backupFrameSchema = z.tuple([
  index, index, z.array(entrySchema), hourSchema, z.array(z.tuple([index, z.array(wireLineSchema)]))
])
export type BackupFrameRow = z.infer<typeof backupFrameSchema>[4][number]
export type BackupFrame = z.infer<typeof backupFrameSchema>
export type BackupEntry = z.infer<typeof entrySchema>
type WireLine = z.infer<typeof wireLineSchema>

/** The latest hour in which any of the lines has a cost. */
export const newestHour = (lines: readonly PackedLine[]): number =>
  lines.reduce((newest, [, , , , , pairs]) => Math.max(newest, (pairs[pairs.length - 2] ?? 0) - COUNTERS), 0)

/** Encodes a line, leaving out counters that are 0 and the cost of the frame's hour. */
export const encodeLine = ([, , , , , pairs]: PackedLine, workspace: number, kind: number, hour: number): WireLine => {
  const counters: number[] = []
  const hours: number[] = []
  let [flags, cost, remainder] = [0, 0, 0]
  for (let at = 0; at + 1 < pairs.length; at += 2) {
    const [index, value] = [pairs[at]!, pairs[at + 1]!]
    if (index >= COUNTERS) {
      hours.push(index - COUNTERS, value)
      remainder -= value
      continue
    }
    flags |= 1 << index
    counters.push(value)
    if (index === COST) remainder = cost = value
  }
  const isRemainder = cost > 0 && remainder === 0 && hours[hours.length - 2] === hour
  if (isRemainder) return [workspace, kind, flags | HAS_REMAINDER, ...counters, ...hours.slice(0, -2)]
  return [workspace, kind, flags, ...counters, ...hours]
}

/** Decodes a line; undefined if its numbers are inconsistent. */
export const decodeLine = (
  line: WireLine, workspace: BackupEntry | undefined, kind: BackupEntry | undefined, hour: number
): PackedLine | undefined => {
  if (typeof workspace !== 'string' || !Array.isArray(kind)) return undefined
  const [, , flags, ...numbers] = line
  const indexes = COUNTER_INDEXES.filter((index) => (flags & (1 << index)) !== 0)
  const hours = numbers.slice(indexes.length)
  if (numbers.length < indexes.length || hours.length % 2 !== 0 || hours.length > 2 * HOURS_PER_DAY) return undefined
  const pairs = indexes.flatMap((index, at) => [index, numbers[at]!])
  let remainder = indexes.includes(COST) ? numbers[indexes.length - 1]! : 0
  for (let at = 0; at < hours.length; at += 2) {
    if (!hourSchema.safeParse(hours[at]).success) return undefined
    pairs.push(hours[at]! + COUNTERS, hours[at + 1]!)
    remainder -= hours[at + 1]!
  }
  if (remainder < 0) return undefined
  if ((flags & HAS_REMAINDER) !== 0) pairs.push(hour + COUNTERS, remainder)
  return [workspace, ...kind, pairs]
}

import { z } from 'zod'
import type { PackedLine } from './LedgerLine.js'

const MAX_HOUR = 23
const HOURS_PER_DAY = 24
/** Counters of a line ahead of its hours. */
const COUNTERS = 6
const COUNTER_NAMES = [...Array(COUNTERS).keys()]
const COST = COUNTERS - 1
const HAS_REST = 1 << COUNTERS
const MAX_FLAGS = 2 * HAS_REST - 1
const hourSchema = z.int().min(0).max(MAX_HOUR)
const count = z.number().nonnegative()
const index = z.int().nonnegative()
/** Class, stage, service and use of a line. */
const kindSchema = z.tuple([z.string(), z.string(), z.string(), z.string()])
const entrySchema = z.union([z.string(), kindSchema])
/**
 * Index of the workspace, index of the kind, flags, the counters that the flags name, then pairs of hour and
 * cost. The flag after the counters' says that the frame's hour has the rest of the cost.
 */
const wireLineSchema = z.tuple([index, index, z.int().min(0).max(MAX_FLAGS)]).rest(count)

/**
 * Unrecorded lines as holders are sent them: the session, how many of the table's entries the holder is known
 * to have, the entries after those, the newest hour of any line, and by row the lines as indexes of entries and counters.
 */
export const holdFrameSchema = z.tuple([
  index, index, z.array(entrySchema), hourSchema, z.array(z.tuple([index, z.array(wireLineSchema)]))
])
export type HoldRow = z.infer<typeof holdFrameSchema>[4][number]
export type HoldFrame = z.infer<typeof holdFrameSchema>
export type HoldEntry = z.infer<typeof entrySchema>
type WireLine = z.infer<typeof wireLineSchema>

/** The newest hour in which any of the lines has a cost. */
export const newestHour = (lines: readonly PackedLine[]): number =>
  lines.reduce((newest, [, , , , , pairs]) => Math.max(newest, (pairs[pairs.length - 2] ?? 0) - COUNTERS), 0)

/** A line's numbers, without counters that are 0 and without the cost of the frame's hour. */
export const writeLine = ([, , , , , pairs]: PackedLine, workspace: number, kind: number, hour: number): WireLine => {
  const counters: number[] = []
  const hours: number[] = []
  let [flags, cost, rest] = [0, 0, 0]
  for (let at = 0; at + 1 < pairs.length; at += 2) {
    const [name, value] = [pairs[at]!, pairs[at + 1]!]
    if (name >= COUNTERS) {
      hours.push(name - COUNTERS, value)
      rest -= value
      continue
    }
    flags |= 1 << name
    counters.push(value)
    if (name === COST) rest = cost = value
  }
  const isRest = cost > 0 && rest === 0 && hours[hours.length - 2] === hour
  if (isRest) return [workspace, kind, flags | HAS_REST, ...counters, ...hours.slice(0, -2)]
  return [workspace, kind, flags, ...counters, ...hours]
}

/** The line of the given names; undefined where its numbers make none. */
export const readLine = (
  line: WireLine, workspace: HoldEntry | undefined, kind: HoldEntry | undefined, hour: number
): PackedLine | undefined => {
  if (typeof workspace !== 'string' || !Array.isArray(kind)) return undefined
  const [, , flags, ...numbers] = line
  const names = COUNTER_NAMES.filter((name) => (flags & (1 << name)) !== 0)
  const hours = numbers.slice(names.length)
  if (numbers.length < names.length || hours.length % 2 !== 0 || hours.length > 2 * HOURS_PER_DAY) return undefined
  const pairs = names.flatMap((name, at) => [name, numbers[at]!])
  let rest = names.includes(COST) ? numbers[names.length - 1]! : 0
  for (let at = 0; at < hours.length; at += 2) {
    if (!hourSchema.safeParse(hours[at]).success) return undefined
    pairs.push(hours[at]! + COUNTERS, hours[at + 1]!)
    rest -= hours[at + 1]!
  }
  if (rest < 0) return undefined
  if ((flags & HAS_REST) !== 0) pairs.push(hour + COUNTERS, rest)
  return [workspace, ...kind, pairs]
}

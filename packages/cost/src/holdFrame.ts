import { z } from 'zod'
import { packedLineSchema } from './LedgerLine.js'
import type { PackedLine } from './LedgerLine.js'

const MAX_HOUR = 23
const HOURS_PER_DAY = 24
/** Counters of a line ahead of its hours. */
const COUNTERS = 6
const count = z.number().nonnegative()
const index = z.int().nonnegative()
/** Class, stage, service and use of a line. */
const kindSchema = z.tuple([z.string(), z.string(), z.string(), z.string()])
const entrySchema = z.union([z.string(), kindSchema])
/** Index of the workspace, index of the kind, all counters, then the hours of the cost. */
const wireLineSchema = z.tuple([index, index, count, count, count, count, count, count]).rest(count)

/**
 * Unrecorded lines as holders are sent them: the session, how many of the table's entries the holder is known
 * to have, the entries after those, and by row the lines as indexes of entries and counters.
 */
export const holdFrameSchema = z.tuple([index, index, z.array(entrySchema), z.array(z.tuple([index, z.array(wireLineSchema)]))])
export type HoldFrame = z.infer<typeof holdFrameSchema>
export type HoldEntry = z.infer<typeof entrySchema>
type WireLine = z.infer<typeof wireLineSchema>

/** A line's numbers; an hour that has all of the cost goes without it. */
export const writeLine = ([, , , , , pairs]: PackedLine, workspace: number, kind: number): WireLine => {
  const counters = new Array<number>(COUNTERS).fill(0)
  const hours: number[] = []
  for (let at = 0; at + 1 < pairs.length; at += 2) {
    if (pairs[at]! < COUNTERS) counters[pairs[at]!] = pairs[at + 1]!
    else hours.push(pairs[at]! - COUNTERS, pairs[at + 1]!)
  }
  const isWhole = hours.length === 2 && hours[1] === counters[COUNTERS - 1]
  return [workspace, kind, ...counters, ...isWhole ? hours.slice(0, 1) : hours] as unknown as WireLine
}

/** The line of the given names; undefined where its numbers make none. */
export const readLine = (line: WireLine, workspace: HoldEntry | undefined, kind: HoldEntry | undefined): PackedLine | undefined => {
  if (typeof workspace !== 'string' || !Array.isArray(kind)) return undefined
  const counters = line.slice(2, 2 + COUNTERS)
  const rest = line.slice(2 + COUNTERS)
  const hours = rest.length === 1 ? [rest[0]!, counters[COUNTERS - 1]!] : rest
  const pairs = counters.flatMap((value, at) => [at, value])
  if (hours.length % 2 !== 0 || hours.length > 2 * HOURS_PER_DAY) return undefined
  for (let at = 0; at < hours.length; at += 2) {
    if (!Number.isInteger(hours[at]) || hours[at]! > MAX_HOUR) return undefined
    pairs.push(hours[at]! + COUNTERS, hours[at + 1]!)
  }
  return packedLineSchema.parse([workspace, ...kind, pairs])
}

import type { Json, WorkspaceId } from '@papayahill/common'
import type { ChangedWindow } from './UsageCounter.js'

/** What one instance tells a receiver about its counts. Workspaces are named once and stand as numbers from then on. */
export interface UsageSection {
  readonly session: number
  /** The sender's current window; all earlier ones are complete there. */
  readonly current: number
  /** The window in which the sender's counter began. */
  readonly since: number
  /** Number of the first workspace in `names`. */
  readonly firstName: number
  readonly names: readonly WorkspaceId[]
  readonly windows: readonly ChangedWindow[]
  /** Whether the sender stops and counts nothing more. */
  readonly isLast: boolean
}

const isCount = (value: unknown): value is number => typeof value === 'number' && Number.isSafeInteger(value) && value >= 0

const isText = (value: unknown): value is string => typeof value === 'string'

/** Encodes a section as flat lists; windows are given as their distance from the current one. */
export const encodeSection = ({ session, current, since, firstName, names, windows, isLast }: UsageSection): Json => [
  session, current, current - since, names.length === 0 ? 0 : [firstName, ...names], isLast ? 1 : 0,
  ...windows.map(({ window, counts }) => [current - window, ...counts.flat()])
]

const decodeNames = (packed: Json | undefined): Pick<UsageSection, 'firstName' | 'names'> => {
  if (packed === 0) return { firstName: 0, names: [] }
  if (!Array.isArray(packed)) throw new Error('names are not a list')
  const [firstName, ...names] = packed as readonly Json[]
  if (!isCount(firstName) || !names.every(isText)) throw new Error('malformed names')
  return { firstName, names: names as unknown as readonly WorkspaceId[] }
}

/** Pairs of numbers that are written one after the other. */
export const pairsOf = (flat: readonly Json[]): ReadonlyArray<readonly [number, number]> => {
  const pairs: Array<readonly [number, number]> = []
  for (let at = 0; at < flat.length; at += 2) {
    const [first, second] = [flat[at], flat[at + 1]]
    if (!isCount(first) || !isCount(second)) throw new Error('malformed counts')
    pairs.push([first, second])
  }
  return pairs
}

const decodeWindow = (packed: Json, current: number): ChangedWindow => {
  if (!Array.isArray(packed)) throw new Error('a window is not a list')
  const [distance, ...counts] = packed as readonly Json[]
  if (typeof distance !== 'number' || !Number.isSafeInteger(distance)) throw new Error('malformed window')
  return { window: current - distance, counts: pairsOf(counts) }
}

/** Decodes a section; throws if it is malformed. */
export const decodeSection = (body: Json): UsageSection => {
  if (!Array.isArray(body)) throw new Error('not a list')
  const [session, current, age, names, last, ...windows] = body as readonly Json[]
  if (!isCount(session) || !isCount(current) || !isCount(age) || !isCount(last)) throw new Error('malformed head')
  const changed = windows.map((packed) => decodeWindow(packed, current))
  return { session, current, since: current - age, ...decodeNames(names), windows: changed, isLast: last === 1 }
}

/** Encodes counts by name as one list. */
export const encodeCounts = (counts: ReadonlyMap<WorkspaceId, number>): readonly Json[] => [...counts].flat()

/** Decodes counts by name; throws if they are malformed. */
export const decodeCounts = (flat: Json | undefined): ReadonlyMap<WorkspaceId, number> => {
  if (!Array.isArray(flat)) throw new Error('counts are not a list')
  const counts = new Map<WorkspaceId, number>()
  const list = flat as readonly Json[]
  for (let at = 0; at < list.length; at += 2) {
    const [name, count] = [list[at], list[at + 1]]
    if (!isText(name) || !isCount(count)) throw new Error('malformed counts')
    counts.set(name as WorkspaceId, count)
  }
  return counts
}

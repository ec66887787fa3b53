import type { Incarnation, Json, WorkspaceId } from '@papayahill/common'
import { isJsonObject } from '@papayahill/common'
import type { CollectedWindow } from './CollectedWindow.js'
import { MAX_EXPORTED_ENTRIES } from './constants.js'
import type { UsageCounts } from './types.js'
import { pairsOf } from './usageMessages.js'

/** How far an incarnation has reported. */
export interface ReporterProgress {
  readonly incarnation: Incarnation
  readonly current: number
  readonly since: number
}

/** What one instance has collected, as another one reads it. */
export interface ImportedUsage {
  readonly reporters: readonly ReporterProgress[]
  readonly windows: ReadonlyArray<{
    readonly window: number
    readonly settled: UsageCounts
    readonly byIncarnation: ReadonlyMap<Incarnation, UsageCounts>
  }>
}

/** Numbers names in the order in which they are first used. */
class NameList<Name extends string> {
  readonly #numbers = new Map<Name, number>()

  numberOf (name: Name): number {
    const known = this.#numbers.get(name)
    if (known !== undefined) return known
    this.#numbers.set(name, this.#numbers.size)
    return this.#numbers.size - 1
  }

  get names (): readonly Name[] {
    return [...this.#numbers.keys()]
  }
}

/** Encodes collected windows, of which the newest have the counts by incarnation and the others totals only. */
export const encodeCollectedUsage = (
  reporters: readonly ReporterProgress[], windows: ReadonlyMap<number, CollectedWindow>
): Json => {
  const workspaces = new NameList<WorkspaceId>()
  const incarnations = new NameList<Incarnation>()
  const pack = (counts: UsageCounts): Json => [...counts].flatMap(([workspace, count]) => [workspaces.numberOf(workspace), count])
  let left = MAX_EXPORTED_ENTRIES
  const newestFirst = [...windows].sort(([one], [other]) => other - one)
  const packed = newestFirst.map(([window, collected]): Json => {
    left -= collected.size
    if (left < 0) return [window, pack(collected.totals())]
    const { settled, byIncarnation } = collected.parts()
    return [window, pack(settled), ...[...byIncarnation].flatMap(([one, counts]) => [incarnations.numberOf(one), pack(counts)])]
  })
  const progress = reporters.map(({ incarnation, current, since }) => [incarnations.numberOf(incarnation), current, since])
  return { reporters: progress, windows: packed, workspaces: workspaces.names, incarnations: incarnations.names }
}

const listOf = (value: Json | undefined): readonly Json[] => {
  if (!Array.isArray(value)) throw new Error('not a list')
  return value as readonly Json[]
}

const numberIn = (value: Json | undefined): number => {
  if (typeof value !== 'number' || !Number.isSafeInteger(value)) throw new Error('not a number')
  return value
}

const nameIn = (names: readonly Json[], at: Json | undefined): string => {
  const name = names[numberIn(at)]
  if (typeof name !== 'string') throw new Error('an unknown name')
  return name
}

/** Decodes what another instance has collected; throws if it is malformed. */
export const decodeCollectedUsage = (exported: Json): ImportedUsage => {
  if (!isJsonObject(exported)) throw new Error('not an object')
  const [workspaces, incarnations] = [listOf(exported.workspaces), listOf(exported.incarnations)]
  const unpack = (packed: Json | undefined): UsageCounts =>
    new Map(pairsOf(listOf(packed)).map(([number, count]) => [nameIn(workspaces, number) as WorkspaceId, count]))
  const unpackWindow = (packed: Json): ImportedUsage['windows'][number] => {
    const [window, settled, ...parts] = listOf(packed)
    const byIncarnation = new Map<Incarnation, UsageCounts>()
    for (let at = 0; at < parts.length; at += 2) byIncarnation.set(nameIn(incarnations, parts[at]) as Incarnation, unpack(parts[at + 1]))
    return { window: numberIn(window), settled: unpack(settled), byIncarnation }
  }
  const reporters = listOf(exported.reporters).map((packed): ReporterProgress => {
    const [incarnation, current, since] = listOf(packed)
    return { incarnation: nameIn(incarnations, incarnation) as Incarnation, current: numberIn(current), since: numberIn(since) }
  })
  return { reporters, windows: listOf(exported.windows).map(unpackWindow) }
}

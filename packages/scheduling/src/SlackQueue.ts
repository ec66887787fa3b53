import type { ClassId, Millis, WorkspaceId } from '@papayahill/common'
import type { QueueAddOptions } from 'p-queue'

type Run = () => Promise<unknown>

/** What the order of the queue is made from. */
export interface QueueEntry {
  readonly class: ClassId
  readonly workspace: WorkspaceId
  /** Monotonic time at which the call must start for the rest of the pipeline to meet the target. */
  readonly startBy: Millis
}

export interface SlackOptions extends QueueAddOptions {
  readonly entry: QueueEntry
}

/** Milliseconds by which a class's entries count as more urgent than their slack says. */
export type ClassGain = (classId: ClassId) => Millis

interface Item {
  readonly id: string
  readonly run: Run
  readonly entry: QueueEntry
}

/** One class's entries: workspaces take turns, each with its least slack first. */
class ClassLane {
  readonly #items = new Map<WorkspaceId, Item[]>()
  /** Virtual finish time of each workspace's last turn. */
  readonly #turns = new Map<WorkspaceId, number>()
  #virtual = 0

  get isEmpty (): boolean {
    return this.#items.size === 0
  }

  add (item: Item): void {
    const { workspace } = item.entry
    const items = this.#items.get(workspace) ?? []
    const at = items.findLastIndex((other) => other.entry.startBy <= item.entry.startBy)
    items.splice(at + 1, 0, item)
    this.#items.set(workspace, items)
    this.#turns.set(workspace, Math.max(this.#virtual, this.#turns.get(workspace) ?? 0))
  }

  /** The next entry: of the workspace whose turn is the earliest, then the one with the least slack. */
  head (): Item | undefined {
    let best: Item | undefined
    let bestTurn = Infinity
    for (const [workspace, items] of this.#items) {
      const turn = this.#turns.get(workspace) ?? 0
      const first = items[0]!
      const isBefore = turn < bestTurn || (turn === bestTurn && first.entry.startBy < best!.entry.startBy)
      if (isBefore) [best, bestTurn] = [first, turn]
    }
    return best
  }

  take (item: Item): void {
    const { workspace } = item.entry
    const turn = this.#turns.get(workspace) ?? 0
    this.#virtual = Math.max(this.#virtual, turn)
    this.#turns.set(workspace, turn + 1)
    this.remove(item)
  }

  remove (item: Item): void {
    const { workspace } = item.entry
    const items = this.#items.get(workspace)
    if (items === undefined) return
    items.splice(items.indexOf(item), 1)
    if (items.length > 0) return
    this.#items.delete(workspace)
    if (this.isEmpty) this.#turns.clear()
  }
}

/**
 * The order in which a service's waiting calls get slots: among classes the least slack first,
 * corrected by how each class stands against its target; within a class workspaces take turns.
 *
 * @example
 * new PQueue({ queueClass: queueClassOf(new SlackQueue((classId) => standing.gain(classId))) })
 */
export class SlackQueue {
  readonly #gain: ClassGain
  readonly #lanes = new Map<ClassId, ClassLane>()
  readonly #items = new Map<string, Item>()

  constructor (gain: ClassGain) {
    this.#gain = gain
  }

  get size (): number {
    return this.#items.size
  }

  enqueue (run: Run, options?: Partial<SlackOptions>): void {
    if (options?.entry === undefined || options.id === undefined) throw new TypeError('an entry needs its order')
    const item: Item = { id: options.id, run, entry: options.entry }
    this.#items.set(item.id, item)
    this.#lane(item.entry.class).add(item)
  }

  dequeue (): Run | undefined {
    const next = this.#next()
    if (next === undefined) return undefined
    this.#items.delete(next.id)
    this.#lane(next.entry.class).take(next)
    return next.run
  }

  remove (id: string): void {
    const item = this.#items.get(id)
    if (item === undefined) return
    this.#items.delete(id)
    this.#lane(item.entry.class).remove(item)
  }

  filter (options: Readonly<Partial<SlackOptions>>): Run[] {
    const wanted = options.entry?.class
    const items = [...this.#items.values()].filter((item) => wanted === undefined || item.entry.class === wanted)
    return items.map((item) => item.run)
  }

  /** The order comes from slack alone. */
  setPriority (): void {}

  #next (): Item | undefined {
    let best: Item | undefined
    let bestStart = Infinity
    for (const [classId, lane] of this.#lanes) {
      const head = lane.head()
      if (head === undefined) continue
      const start = head.entry.startBy - this.#gain(classId)
      if (start < bestStart) [best, bestStart] = [head, start]
    }
    return best
  }

  #lane (classId: ClassId): ClassLane {
    const known = this.#lanes.get(classId)
    if (known !== undefined) return known
    const lane = new ClassLane()
    this.#lanes.set(classId, lane)
    return lane
  }
}

/** p-queue builds its queue by itself; this gives it the one that is given. */
export const queueClassOf = (queue: SlackQueue): new () => SlackQueue => {
  const build = function () { return queue }
  return build as unknown as new () => SlackQueue
}

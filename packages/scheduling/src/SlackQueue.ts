import type { ClassId, Millis, WorkspaceId } from '@papayahill/common'
import type { QueueAddOptions } from 'p-queue'

type Task = () => Promise<unknown>

/** Determines the position of a call in the queue. */
export interface QueueEntry {
  readonly class: ClassId
  readonly workspace: WorkspaceId
  /** Monotonic time at which the call must start for the rest of the pipeline to meet the target. */
  readonly startBy: Millis
}

export interface SlackOptions extends QueueAddOptions {
  readonly entry: QueueEntry
}

/** Milliseconds by which a class's entries count as more urgent than their slack alone. */
export type ClassBoost = (classId: ClassId) => Millis

interface Item {
  readonly id: string
  readonly task: Task
  readonly entry: QueueEntry
}

/** Entries of one class: round-robin between workspaces, least slack first within each. */
class ClassQueue {
  readonly #items = new Map<WorkspaceId, Item[]>()
  /** Virtual finish time of each workspace's last entry, as in fair queueing. */
  readonly #finishTimes = new Map<WorkspaceId, number>()
  #virtualTime = 0

  get isEmpty (): boolean {
    return this.#items.size === 0
  }

  add (item: Item): void {
    const { workspace } = item.entry
    const items = this.#items.get(workspace) ?? []
    const at = items.findLastIndex((other) => other.entry.startBy <= item.entry.startBy)
    items.splice(at + 1, 0, item)
    this.#items.set(workspace, items)
    this.#finishTimes.set(workspace, Math.max(this.#virtualTime, this.#finishTimes.get(workspace) ?? 0))
  }

  /** The next entry: from the workspace with the earliest virtual finish time, ties by least slack. */
  head (): Item | undefined {
    let best: Item | undefined
    let bestFinishTime = Infinity
    for (const [workspace, items] of this.#items) {
      const finishTime = this.#finishTimes.get(workspace) ?? 0
      const first = items[0]!
      const isBefore = finishTime < bestFinishTime || (finishTime === bestFinishTime && first.entry.startBy < best!.entry.startBy)
      if (isBefore) [best, bestFinishTime] = [first, finishTime]
    }
    return best
  }

  dequeue (item: Item): void {
    const { workspace } = item.entry
    const finishTime = this.#finishTimes.get(workspace) ?? 0
    this.#virtualTime = Math.max(this.#virtualTime, finishTime)
    this.#finishTimes.set(workspace, finishTime + 1)
    this.remove(item)
  }

  remove (item: Item): void {
    const { workspace } = item.entry
    const items = this.#items.get(workspace)
    if (items === undefined) return
    items.splice(items.indexOf(item), 1)
    if (items.length > 0) return
    this.#items.delete(workspace)
    if (this.isEmpty) this.#finishTimes.clear()
  }
}

/**
 * The order in which a service's waiting calls get slots: least slack first between classes, adjusted by each class's
 * boost; round-robin between workspaces within a class.
 *
 * @example
 * new PQueue({ queueClass: queueClassOf(new SlackQueue((classId) => attainment.boost(classId))) })
 */
export class SlackQueue {
  readonly #boost: ClassBoost
  readonly #classQueues = new Map<ClassId, ClassQueue>()
  readonly #items = new Map<string, Item>()

  constructor (boost: ClassBoost) {
    this.#boost = boost
  }

  get size (): number {
    return this.#items.size
  }

  enqueue (task: Task, options?: Partial<SlackOptions>): void {
    if (options?.entry === undefined || options.id === undefined) throw new TypeError('the options id and entry are required')
    const item: Item = { id: options.id, task, entry: options.entry }
    this.#items.set(item.id, item)
    this.#classQueue(item.entry.class).add(item)
  }

  dequeue (): Task | undefined {
    const next = this.#next()
    if (next === undefined) return undefined
    this.#items.delete(next.id)
    this.#classQueue(next.entry.class).dequeue(next)
    return next.task
  }

  remove (id: string): void {
    const item = this.#items.get(id)
    if (item === undefined) return
    this.#items.delete(id)
    this.#classQueue(item.entry.class).remove(item)
  }

  filter (options: Readonly<Partial<SlackOptions>>): Task[] {
    const classId = options.entry?.class
    const items = [...this.#items.values()].filter((item) => classId === undefined || item.entry.class === classId)
    return items.map((item) => item.task)
  }

  /** Part of p-queue's interface; has no effect, because the order depends on slack alone. */
  setPriority (): void {}

  #next (): Item | undefined {
    let best: Item | undefined
    let bestStart = Infinity
    for (const [classId, classQueue] of this.#classQueues) {
      const head = classQueue.head()
      if (head === undefined) continue
      const start = head.entry.startBy - this.#boost(classId)
      if (start < bestStart) [best, bestStart] = [head, start]
    }
    return best
  }

  #classQueue (classId: ClassId): ClassQueue {
    const known = this.#classQueues.get(classId)
    if (known !== undefined) return known
    const classQueue = new ClassQueue()
    this.#classQueues.set(classId, classQueue)
    return classQueue
  }
}

/** p-queue constructs its queue itself; this class makes it use the given one. */
export const queueClassOf = (slackQueue: SlackQueue): new () => SlackQueue => {
  const build = function () { return slackQueue }
  return build as unknown as new () => SlackQueue
}

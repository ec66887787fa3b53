import type { Incarnation, WorkspaceId } from '@papayahill/common'

type Counts = ReadonlyMap<WorkspaceId, number>

/** Counts of one window by incarnation, merged by maximum: each incarnation's counts only grow. */
export class CollectedWindow {
  readonly #byIncarnation = new Map<Incarnation, Map<WorkspaceId, number>>()
  /** Totals of counts whose incarnations are no longer known. */
  #settled = new Map<WorkspaceId, number>()
  #isSettled = false
  /** Number of counts. */
  size = 0

  add (incarnation: Incarnation, workspace: WorkspaceId, count: number): void {
    if (this.#isSettled) return
    const counts = this.#byIncarnation.get(incarnation) ?? new Map<WorkspaceId, number>()
    if (counts.size === 0) this.#byIncarnation.set(incarnation, counts)
    const known = counts.get(workspace)
    if (known !== undefined && known >= count) return
    if (known === undefined) this.size++
    counts.set(workspace, count)
  }

  /** Raises the totals to those of another collector that no longer knows the incarnations. */
  raise (totals: Counts): void {
    for (const [workspace, count] of totals) {
      if ((this.#settled.get(workspace) ?? 0) < count) this.#settled.set(workspace, count)
    }
  }

  totals (): Map<WorkspaceId, number> {
    const totals = new Map<WorkspaceId, number>()
    for (const counts of this.#byIncarnation.values()) {
      for (const [workspace, count] of counts) totals.set(workspace, (totals.get(workspace) ?? 0) + count)
    }
    for (const [workspace, count] of this.#settled) totals.set(workspace, Math.max(count, totals.get(workspace) ?? 0))
    return totals
  }

  /** Keeps the totals only; what arrives from now on is ignored. */
  settle (): void {
    this.#settled = this.totals()
    this.#byIncarnation.clear()
    this.#isSettled = true
    this.size = 0
  }

  /** Totals without known incarnations, and counts by incarnation. */
  parts (): { readonly settled: Counts, readonly byIncarnation: ReadonlyMap<Incarnation, Counts> } {
    return { settled: this.#settled, byIncarnation: this.#byIncarnation }
  }
}

import type { ClassId, Millis, WorkspaceId } from '@papayahill/common'
import type { ClassSettings, PipelineSettings } from '@papayahill/settings'
import { RATE_WINDOW } from './constants.js'
import { DecayingCount } from './DecayingCount.js'

/** Recent arrivals of one class; `offered` includes refused requests. */
export interface ClassArrivals {
  readonly class: ClassSettings
  readonly pipeline: PipelineSettings
  readonly offered: DecayingCount
  readonly admitted: DecayingCount
  readonly byWorkspace: Map<WorkspaceId, DecayingCount>
}

/** A workspace whose decayed count is below this is removed. */
const MIN_COUNT = 0.05
/** Admitted requests between two removals of idle workspaces. */
const SWEEP_INTERVAL = 256

/**
 * Recent arrivals per class, and the admitted ones per workspace.
 *
 * @example
 * arrivals.recordOffered(classSettings, pipeline, now)
 * arrivals.isUnderFairShare(classId, workspace, now)
 */
export class Arrivals {
  readonly #classes = new Map<ClassId, ClassArrivals>()
  #untilSweep = SWEEP_INTERVAL

  recordOffered (settings: ClassSettings, pipeline: PipelineSettings, now: Millis): void {
    const known = this.#classes.get(settings.id)
    const isCurrent = known?.class === settings && known.pipeline === pipeline
    const arrivals = isCurrent ? known : { ...newArrivals(), ...known, class: settings, pipeline }
    if (!isCurrent) this.#classes.set(settings.id, arrivals)
    arrivals.offered.add(now)
  }

  recordAdmitted (classId: ClassId, workspace: WorkspaceId, now: Millis): void {
    const arrivals = this.#classes.get(classId)
    if (arrivals === undefined) return
    arrivals.admitted.add(now)
    const share = arrivals.byWorkspace.get(workspace) ?? new DecayingCount(RATE_WINDOW)
    share.add(now)
    arrivals.byWorkspace.set(workspace, share)
    this.#sweep(arrivals, now)
  }

  /** Whether the workspace got less of the class than an even split would give it. */
  isUnderFairShare (classId: ClassId, workspace: WorkspaceId, now: Millis): boolean {
    const arrivals = this.#classes.get(classId)
    if (arrivals === undefined) return true
    const own = arrivals.byWorkspace.get(workspace)?.value(now) ?? 0
    return own * arrivals.byWorkspace.size < arrivals.admitted.value(now)
  }

  all (): Iterable<ClassArrivals> {
    return this.#classes.values()
  }

  #sweep (arrivals: ClassArrivals, now: Millis): void {
    if (this.#untilSweep-- > 0) return
    this.#untilSweep = SWEEP_INTERVAL
    for (const [workspace, share] of arrivals.byWorkspace) {
      if (share.value(now) < MIN_COUNT) arrivals.byWorkspace.delete(workspace)
    }
  }
}

const newArrivals = (): Pick<ClassArrivals, 'offered' | 'admitted' | 'byWorkspace'> => ({
  offered: new DecayingCount(RATE_WINDOW),
  admitted: new DecayingCount(RATE_WINDOW),
  byWorkspace: new Map()
})

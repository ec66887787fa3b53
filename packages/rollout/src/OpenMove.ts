import { MILLIS_PER_SECOND } from '@papayahill/common'
import type { Millis, Random, StageRecord } from '@papayahill/common'
import type { MoveSettings } from '@papayahill/settings'
import { HOLD_EVIDENCE_SPAN, MOVE_ERROR_RATE, PROBE_SHARE_MAX } from './constants.js'
import { EvidenceCounts, routeKey } from './EvidenceCounts.js'
import { MergedEvidence } from './MergedEvidence.js'
import type { MoveRecord } from './moveRow.js'
import type { RouteProgress } from './planStep.js'
import { RegressionDetector, SUM_COUNT } from './RegressionDetector.js'
import { RouteAnalyzer } from './RouteAnalyzer.js'
import { ShareSplitter } from './ShareSplitter.js'
import type { Route } from './types.js'

/** Reason for a rollback; never unset once set. */
export interface Rollback {
  readonly because: string
}

/**
 * This instance's view of one open move: its share, its evidence and whether it was rolled back.
 *
 * @example
 * const open = new OpenMove(move, random)
 * open.adopt(3, record)
 * open.isNewPreferred(route)
 */
export class OpenMove {
  readonly move: MoveSettings
  /** This instance's own calls since the move began. */
  readonly own = new EvidenceCounts()
  readonly merged = new MergedEvidence()
  readonly #random: Random
  readonly #unevaluated = new EvidenceCounts()
  readonly #analyzers = new Map<string, RouteAnalyzer>()
  /** Pools all routes, to detect a regression that is too rare on each single route. */
  readonly #pooled = new RegressionDetector()
  readonly #splitters = new Map<string, ShareSplitter>()
  readonly #callsBeforeStep = new Map<string, number>()
  #evaluatedAt: Millis | undefined
  #rowVersion = 0
  #isSuperseded = false
  #record: MoveRecord | undefined
  #rollback: Rollback | undefined

  constructor (move: MoveSettings, random: Random) {
    this.move = move
    this.#random = random
  }

  get rowVersion (): number {
    return this.#rowVersion
  }

  /** The stored record of this move; undefined until the store has confirmed it. */
  get record (): MoveRecord | undefined {
    return this.#record
  }

  /** Whether the row already belongs to a later move. This instance's configuration is then behind, and it must not act. */
  get isSuperseded (): boolean {
    return this.#isSuperseded
  }

  get rollback (): Rollback | undefined {
    return this.#rollback
  }

  get isRollbackRecorded (): boolean {
    return this.#record?.state === 'taken-back'
  }

  /** Share of new calls for the new version. */
  get share (): number {
    return this.#rollback === undefined && !this.#isSuperseded ? this.#record?.share ?? 0 : 0
  }

  /** Whether the new version is past the probing phase and may serve as a fallback for the old one. */
  get isProven (): boolean {
    return this.share > PROBE_SHARE_MAX
  }

  isNewPreferred (route: Route): boolean {
    const key = routeKey(route)
    const splitter = this.#splitters.get(key) ?? new ShareSplitter(this.#random.fork())
    this.#splitters.set(key, splitter)
    return splitter.pick(this.share)
  }

  count (record: StageRecord): void {
    const { from, to } = this.move
    if (record.version !== from && record.version !== to) return
    const side = record.version === to ? 'new' : 'old'
    this.own.count(record, side)
    this.#unevaluated.count(record, side)
  }

  /** Adopts the row as read from the store or received from the peer that wrote it. */
  adopt (version: number, record: MoveRecord | undefined): void {
    this.#rowVersion = version
    if (record !== undefined && record.startedAt > this.move.startedAt) this.#isSuperseded = true
    if (record?.startedAt !== this.move.startedAt) return
    const isNewShare = record.share !== this.#record?.share
    this.#record = record
    if (isNewShare) this.#shareChanged()
  }

  /** Rolls the new version back permanently; true on the first call only. */
  rollBack (because: string): boolean {
    if (this.#rollback !== undefined) return false
    this.#rollback = { because }
    return true
  }

  /** Evaluates the evidence since the last call; returns its description if it suffices for a rollback. */
  evaluate (now: Millis): string | undefined {
    this.#decay(now)
    this.merged.add(this.#unevaluated)
    this.#unevaluated.clear()
    for (const counts of this.merged.drain().routes) {
      const evidence = this.#analyzerOf(routeKey(counts.route)).update(counts, now)
      if (evidence !== undefined) this.#pooled.update(evidence)
    }
    const threshold = this.#rollbackThreshold()
    return this.#describeFirst(({ netNats }) => netNats >= threshold)
  }

  /** Describes evidence that holds back steps but does not suffice for a rollback. */
  holdReason (): string | undefined {
    return this.#describeFirst(({ shouldHold }) => shouldHold)
  }

  progress (elapsed: number): readonly RouteProgress[] {
    return [...this.merged.total.routes].map((counts) => {
      const key = routeKey(counts.route)
      const before = this.#callsBeforeStep.get(key) ?? 0
      const rate = (counts.new.calls + counts.old.calls) / Math.max(MILLIS_PER_SECOND, elapsed) * MILLIS_PER_SECOND
      return { name: key, rate, newCalls: counts.new.calls, newCallsAtShare: counts.new.calls - before }
    })
  }

  #decay (now: Millis): void {
    const factor = Math.exp(((this.#evaluatedAt ?? now) - now) / HOLD_EVIDENCE_SPAN)
    this.#evaluatedAt = now
    for (const analyzer of this.#analyzers.values()) analyzer.decay(factor)
    this.#pooled.decay(factor)
  }

  /** Nats at which the probability of a false rollback, over all sums, stays within {@link MOVE_ERROR_RATE}. */
  #rollbackThreshold (): number {
    return Math.log((this.#analyzers.size + 1) * SUM_COUNT / MOVE_ERROR_RATE)
  }

  /** Describes the evidence of the first detector for which `isAgainst` holds. */
  #describeFirst (isAgainst: (detector: Pick<RegressionDetector, 'netNats' | 'shouldHold'>) => boolean): string | undefined {
    for (const [key, analyzer] of this.#analyzers) {
      if (isAgainst(analyzer)) return `on ${key} ${analyzer.describe()} (${analyzer.nats.toFixed(1)} nats)`
    }
    if (!isAgainst(this.#pooled)) return undefined
    return `on all routes together ${this.#pooled.describe()} (${this.#pooled.nats.toFixed(1)} nats)`
  }

  #analyzerOf (key: string): RouteAnalyzer {
    const analyzer = this.#analyzers.get(key) ?? new RouteAnalyzer()
    this.#analyzers.set(key, analyzer)
    return analyzer
  }

  #shareChanged (): void {
    for (const analyzer of this.#analyzers.values()) analyzer.shareChanged()
    for (const counts of this.merged.total.routes) this.#callsBeforeStep.set(routeKey(counts.route), counts.new.calls)
  }
}

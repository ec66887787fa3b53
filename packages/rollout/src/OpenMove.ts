import { MILLIS_PER_SECOND } from '@papayahill/common'
import type { Millis, Random, StageRecord } from '@papayahill/common'
import type { MoveSettings } from '@papayahill/settings'
import { AdverseJudge, SUM_COUNT } from './AdverseJudge.js'
import { DOUBT_SPAN, MOVE_ERROR_RATE, PROBE_SHARE_MAX } from './constants.js'
import { EvidenceCounts, routeKey } from './EvidenceCounts.js'
import { MergedEvidence } from './MergedEvidence.js'
import type { MoveRecord } from './moveRow.js'
import type { RouteProgress } from './planStep.js'
import { RouteJudge } from './RouteJudge.js'
import { ShareSplitter } from './ShareSplitter.js'
import type { Route } from './types.js'

/** Why a version was taken back; never unset once set. */
export interface TakeBack {
  readonly because: string
}

/**
 * One move as this instance sees it: its share, its evidence and whether the version was taken back.
 *
 * @example
 * const open = new OpenMove(move, random)
 * open.adopt({ version: 3, record })
 * open.isNewPreferred(route)
 */
export class OpenMove {
  readonly move: MoveSettings
  /** This instance's own calls since the move began. */
  readonly own = new EvidenceCounts()
  readonly merged = new MergedEvidence()
  readonly #random: Random
  readonly #unjudged = new EvidenceCounts()
  readonly #judges = new Map<string, RouteJudge>()
  /** All routes put together: finds a fault that is too rare on each. */
  readonly #pooled = new AdverseJudge()
  readonly #splitters = new Map<string, ShareSplitter>()
  readonly #callsBeforeShare = new Map<string, number>()
  #judgedAt: Millis | undefined
  #rowVersion = 0
  #isSuperseded = false
  #record: MoveRecord | undefined
  #takeBack: TakeBack | undefined

  constructor (move: MoveSettings, random: Random) {
    this.move = move
    this.#random = random
  }

  get rowVersion (): number {
    return this.#rowVersion
  }

  /** The record of this very move; undefined until it is confirmed. */
  get record (): MoveRecord | undefined {
    return this.#record
  }

  /** Whether the row already tells of a later move: this instance's configuration lags, and it starts nothing. */
  get isSuperseded (): boolean {
    return this.#isSuperseded
  }

  get takeBack (): TakeBack | undefined {
    return this.#takeBack
  }

  get isTakeBackRecorded (): boolean {
    return this.#record?.state === 'taken-back'
  }

  /** Share of new calls for the new version. */
  get share (): number {
    return this.#takeBack === undefined && !this.#isSuperseded ? this.#record?.share ?? 0 : 0
  }

  /** Whether the new version has shown its first good calls, so that it may help out the old one. */
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
    this.#unjudged.count(record, side)
  }

  /** Takes over the row as the store or a peer that wrote it showed it. */
  adopt (version: number, record: MoveRecord | undefined): void {
    this.#rowVersion = version
    if (record !== undefined && record.startedAt > this.move.startedAt) this.#isSuperseded = true
    if (record?.startedAt !== this.move.startedAt) return
    const isNewShare = record.share !== this.#record?.share
    this.#record = record
    if (isNewShare) this.#shareSet()
  }

  /** Takes the new version back for good. True the first time. */
  latch (because: string): boolean {
    if (this.#takeBack !== undefined) return false
    this.#takeBack = { because }
    return true
  }

  /** Judges what came since the last time; the evidence in words where it suffices to take back. */
  judge (now: Millis): string | undefined {
    this.#fade(now)
    this.merged.takeNew(this.#unjudged)
    this.#unjudged.clear()
    for (const counts of this.merged.drain().routes) {
      const looked = this.#judgeOf(routeKey(counts.route)).update(counts, now)
      if (looked !== undefined) this.#pooled.update(looked)
    }
    const limit = this.#limit()
    return this.#find(({ netNats }) => netNats >= limit)
  }

  /** Evidence that holds back steps without sufficing to take back. */
  doubt (): string | undefined {
    return this.#find(({ isDoubtful }) => isDoubtful)
  }

  progress (elapsed: number): readonly RouteProgress[] {
    return [...this.merged.total.routes].map((counts) => {
      const key = routeKey(counts.route)
      const before = this.#callsBeforeShare.get(key) ?? 0
      const rate = (counts.new.calls + counts.old.calls) / Math.max(MILLIS_PER_SECOND, elapsed) * MILLIS_PER_SECOND
      return { name: key, rate, newCalls: counts.new.calls, newCallsAtShare: counts.new.calls - before }
    })
  }

  #fade (now: Millis): void {
    const kept = Math.exp(((this.#judgedAt ?? now) - now) / DOUBT_SPAN)
    this.#judgedAt = now
    for (const judge of this.#judges.values()) judge.fade(kept)
    this.#pooled.fade(kept)
  }

  /** Nats at which the chance to take back a good version, over all sums, meets the stated rate. */
  #limit (): number {
    return Math.log((this.#judges.size + 1) * SUM_COUNT / MOVE_ERROR_RATE)
  }

  /** The first judge that speaks against the new version, in words. */
  #find (isAgainst: (judge: Pick<AdverseJudge, 'netNats' | 'isDoubtful'>) => boolean): string | undefined {
    for (const [key, judge] of this.#judges) {
      if (isAgainst(judge)) return `on ${key} ${judge.describe()} (${judge.nats.toFixed(1)} nats)`
    }
    if (!isAgainst(this.#pooled)) return undefined
    return `on all routes together ${this.#pooled.describe()} (${this.#pooled.nats.toFixed(1)} nats)`
  }

  #judgeOf (key: string): RouteJudge {
    const judge = this.#judges.get(key) ?? new RouteJudge()
    this.#judges.set(key, judge)
    return judge
  }

  #shareSet (): void {
    for (const judge of this.#judges.values()) judge.shareSet()
    for (const counts of this.merged.total.routes) this.#callsBeforeShare.set(routeKey(counts.route), counts.new.calls)
  }
}

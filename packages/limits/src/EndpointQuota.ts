import { millis, MILLIS_PER_SECOND } from '@papayahill/common'
import type { Clock, InstanceId, Millis, Random } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import { ASK_SPREAD, BORROWED_TTL, HOLDERS_TTL, MAX_ASK_BACKOFF, MIN_ASK_BACKOFF, NO_ANSWER_BACKOFF } from './constants.js'
import { holdersOf, shareRate } from './divideLimit.js'
import type { KnownInstances } from './KnownInstances.js'
import type { TokenOutcome } from './quotaMessages.js'
import { ShareBucket } from './ShareBucket.js'
import type { ActiveLimit, LimitPart } from './types.js'

export interface EndpointQuotaOptions {
  readonly clock: Clock
  readonly random: Random
  readonly endpoint: Endpoint
  readonly self: InstanceId
  readonly known: KnownInstances
  /** Asks a holder for a token; undefined if it does not answer. */
  readonly ask: (holder: InstanceId) => Promise<TokenOutcome | undefined>
}

/**
 * The limit of one endpoint's incarnation at this instance: its own share, if it holds one, and tokens that it borrows from
 * the other holders. Which instances hold shares depends only on the instances known, never on who is reachable, so that the
 * shares add up to the limit on all sides of a cut.
 */
export class EndpointQuota {
  readonly #options: EndpointQuotaOptions
  readonly #bucket = new ShareBucket()
  /** Monotonic times until which borrowed tokens may be used. */
  #borrowed: Millis[] = []
  #perSecond: number | undefined
  #holders: readonly InstanceId[] = []
  #interval: Millis = millis(Infinity)
  #updatedAt: Millis = millis(-Infinity)
  /** Monotonic times from which holders may be asked again. */
  readonly #askableAt = new Map<InstanceId, Millis>()
  /** When each instance was last denied a token here. */
  readonly #deniedAt = new Map<InstanceId, Millis>()
  #isAsking = false

  constructor (options: EndpointQuotaOptions) {
    this.#options = options
  }

  /** Drops all tokens, after a pause of this process. */
  restart (): void {
    this.#perSecond = undefined
    this.#borrowed = []
    this.#updatedAt = millis(-Infinity)
  }

  canSend (limit: ActiveLimit): boolean {
    const now = this.#update(limit)
    return this.#hasBorrowed(now) || (this.#isHolder && this.#bucket.availableIn(now) === 0)
  }

  trySend (limit: ActiveLimit): boolean {
    const now = this.#update(limit)
    if (this.#hasBorrowed(now)) return this.#borrowed.shift() !== undefined
    return this.#isHolder && this.#bucket.tryTake(now)
  }

  /** Time until this instance may have a token, of its own or borrowed. */
  availableIn (limit: ActiveLimit): Millis {
    const now = this.#update(limit)
    if (this.#isAsking || this.#hasBorrowed(now)) return millis(0)
    const own = this.#isHolder ? this.#bucket.availableIn(now) : Infinity
    const others = this.#otherHolders.map((holder) => Math.max(0, (this.#askableAt.get(holder) ?? 0) - now))
    return millis(Math.min(own, MAX_ASK_BACKOFF, ...others))
  }

  /** Asks one of the other holders for a token, unless there is one or a question is open. */
  request (limit: ActiveLimit): void {
    const now = this.#update(limit)
    if (this.#isAsking || this.#hasBorrowed(now)) return
    const askable = this.#otherHolders.filter((holder) => (this.#askableAt.get(holder) ?? 0) <= now)
    if (askable.length > 0) void this.#borrow(askable[this.#options.random.below(askable.length)]!)
  }

  /** Lends a token of the own share; if there is none, tells when to ask again. */
  lend (limit: ActiveLimit, to: InstanceId): TokenOutcome {
    const now = this.#update(limit)
    if (this.#isHolder && this.#bucket.tryTake(now)) return { kind: 'lent' }
    if (!this.#isHolder) return { kind: 'denied', retryIn: NO_ANSWER_BACKOFF }
    this.#deniedAt.set(to, now)
    return { kind: 'denied', retryIn: this.#retryIn(now) }
  }

  partOf (limit: ActiveLimit): LimitPart {
    const now = this.#update(limit)
    return {
      perSecond: limit.perSecond,
      source: limit.source,
      age: millis(now - limit.learnedAt),
      ownPerSecond: this.#isHolder ? MILLIS_PER_SECOND / this.#interval : 0,
      shares: this.#holders.length,
      availableIn: this.availableIn(limit)
    }
  }

  /** Rank of this instance among the holders; negative if it holds no share. */
  get #rank (): number {
    return this.#holders.indexOf(this.#options.self)
  }

  get #isHolder (): boolean {
    return this.#rank >= 0
  }

  get #otherHolders (): readonly InstanceId[] {
    return this.#holders.filter((holder) => holder !== this.#options.self)
  }

  #hasBorrowed (now: Millis): boolean {
    while (this.#borrowed.length > 0 && this.#borrowed[0]! <= now) this.#borrowed.shift()
    return this.#borrowed.length > 0
  }

  async #borrow (holder: InstanceId): Promise<void> {
    const { clock, ask } = this.#options
    const askedAt = clock.now()
    this.#isAsking = true
    const answer = await ask(holder)
    this.#isAsking = false
    if (answer?.kind === 'lent') this.#borrowed.push(millis(askedAt + BORROWED_TTL))
    const backoff = answer?.kind === 'denied' ? Math.min(MAX_ASK_BACKOFF, Math.max(MIN_ASK_BACKOFF, answer.retryIn)) : NO_ANSWER_BACKOFF
    this.#askableAt.set(holder, millis(answer?.kind === 'lent' ? 0 : clock.now() + backoff))
  }

  /** Spreads those that were denied over time, so that a few of them ask for each token. */
  #retryIn (now: Millis): Millis {
    for (const [id, at] of this.#deniedAt) if (now - at > MAX_ASK_BACKOFF) this.#deniedAt.delete(id)
    const spread = Math.min(MAX_ASK_BACKOFF, this.#deniedAt.size * this.#interval * ASK_SPREAD)
    return millis(this.#bucket.availableIn(now) + this.#options.random.next() * spread)
  }

  /** Applies a changed limit and, from time to time, the instances known and reachable by now; returns the time. */
  #update (limit: ActiveLimit): Millis {
    const { clock, known, endpoint } = this.#options
    const now = clock.now()
    if (limit.perSecond === this.#perSecond && now - this.#updatedAt < HOLDERS_TTL) return now
    const wasHolder = this.#isHolder
    const before = this.#perSecond
    this.#updatedAt = now
    this.#perSecond = limit.perSecond
    this.#holders = holdersOf(`${endpoint.id} ${endpoint.incarnation}`, limit.perSecond, known.ids)
    const rank = this.#rank
    const reachable = [...this.#holders.keys()].filter((each) => known.isReachable(this.#holders[each]!))
    const rate = shareRate(limit.perSecond, this.#holders.length, Math.max(0, rank), reachable)
    this.#interval = rate.interval
    if (limit.perSecond !== before) this.#askableAt.clear()
    const isRestart = !wasHolder || before === undefined || limit.perSecond < before
    if (isRestart) this.#bucket.restart(rate, millis((rank + 1) * MILLIS_PER_SECOND / limit.perSecond), now)
    else this.#bucket.adjust(rate, now)
    return now
  }
}

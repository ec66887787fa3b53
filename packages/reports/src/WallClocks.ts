import { millis } from '@papayahill/common'
import type { Clock, EpochMillis, Incarnation, Millis } from '@papayahill/common'
import { JUMP_DISTRUST, JUMP_SIZE, MEDIAN_TTL, MIN_WALL_CLOCKS, WALL_CLOCK_TTL } from './constants.js'

interface WallClock {
  /** Its time minus this instance's monotonic time. */
  readonly offset: number
  readonly at: Millis
  /** Monotonic time until which it does not count, since it has jumped. */
  readonly distrustedUntil: Millis
}

const medianOf = (values: readonly number[]): number => {
  const sorted = [...values].sort((left, right) => left - right)
  const middle = sorted.length >> 1
  return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2
}

/** The wall clocks of all reporting instances, and by how much each is off their median. */
export class WallClocks {
  readonly #clock: Clock
  readonly #self: Incarnation
  /** Number of instances, this one included. */
  readonly #instances: () => number
  readonly #clocks = new Map<Incarnation, WallClock>()
  #median: number | undefined
  #medianUntil = millis(0)

  constructor (clock: Clock, self: Incarnation, instances: () => number) {
    this.#clock = clock
    this.#self = self
    this.#instances = instances
  }

  note (incarnation: Incarnation, wall: EpochMillis): void {
    const at = this.#clock.now()
    const offset = wall - at
    const known = this.#clocks.get(incarnation)
    const hasJumped = known !== undefined && Math.abs(offset - known.offset) > JUMP_SIZE
    const distrustedUntil = hasJumped ? millis(at + JUMP_DISTRUST) : known?.distrustedUntil ?? millis(-Infinity)
    this.#clocks.set(incarnation, { offset, at, distrustedUntil })
  }

  /** How far a clock is ahead of the median; undefined while most instances have not reported theirs. */
  aheadOfMedian (incarnation: Incarnation): Millis | undefined {
    const known = this.#clocks.get(incarnation)
    const median = this.#currentMedian()
    return known === undefined || median === undefined ? undefined : millis(known.offset - median)
  }

  #currentMedian (): number | undefined {
    const now = this.#clock.now()
    if (now < this.#medianUntil) return this.#median
    this.#medianUntil = millis(now + MEDIAN_TTL)
    this.note(this.#self, this.#clock.wall())
    for (const [incarnation, { at }] of this.#clocks) if (now - at > WALL_CLOCK_TTL) this.#clocks.delete(incarnation)
    const isEnough = this.#clocks.size >= Math.max(MIN_WALL_CLOCKS, this.#instances() / 2)
    this.#median = isEnough ? medianOf(this.#trusted(now).map(({ offset }) => offset)) : undefined
    return this.#median
  }

  /** The clocks that have not jumped lately; all if most have, as after this instance was suspended. */
  #trusted (now: Millis): readonly WallClock[] {
    const all = [...this.#clocks.values()]
    const trusted = all.filter(({ distrustedUntil }) => distrustedUntil <= now)
    return trusted.length >= Math.max(MIN_WALL_CLOCKS, all.length / 2) ? trusted : all
  }
}

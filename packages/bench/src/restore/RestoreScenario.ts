import { millis, seconds, SeededRandom } from '@papayahill/common'
import type { Millis, Random } from '@papayahill/common'
import { TableHarness } from '@papayahill/directory'
import type { StoreCopy, TableHarnessOptions, TableInstance } from '@papayahill/directory'

const ROWS = 40
const SETTLE = seconds(9)
const STEP = millis(50)
/** Period at which the store is copied. */
const COPY_PERIOD = millis(250)
const MAX_LOST = seconds(20)
const MIN_LOST = millis(500)
const MAX_AWAY = seconds(2)
/** Time after its return in which writers have written everything again. */
const WRITTEN_AGAIN_WITHIN = millis(1800)
const MAX_WRITE_GAP = millis(1200)
/** Time between the end of a restore and the next one. */
const MAX_RESTORE_GAP = seconds(5)
/** Time after the last disturbance from which changes must be in force in time. */
const CONTACT = seconds(3)
const LAST_CHANGES = 4
/** Time after an acknowledged change after which an instance that does not know it counts as not following. */
const MAX_FOLLOW_TIME = seconds(5)
const REMOVED_SHARE = 0.15
/** What a removal adds to the version that a row had: less than the difference of two versions. */
const REMOVAL_STEP = 0.5
const DISTURBED_SHARE = 0.3

/** What happens to some of the instances beside the restores. */
type Trouble = 'none' | 'cut' | 'refused' | 'restart' | 'join'

/** Begins a trouble for some instances; the result ends it. */
const TROUBLES: Readonly<Record<Trouble, (harness: TableHarness, some: readonly TableInstance[]) => () => void>> = {
  none: () => () => {},
  cut: (harness, some) => {
    const others = harness.instances.filter((instance) => !some.includes(instance))
    const pairs = some.flatMap((one) => others.map((other) => [one.identity, other.identity] as const))
    for (const [one, other] of pairs) harness.network.partition(one, other)
    for (const one of some) one.access = 'silent'
    return () => {
      for (const [one, other] of pairs) harness.network.heal(one, other)
      for (const one of some) one.access = 'serves'
    }
  },
  refused: (_harness, some) => {
    for (const one of some) one.access = 'refuses'
    return () => { for (const one of some) one.access = 'serves' }
  },
  restart: (harness, some) => {
    const places = some.map((one) => harness.instances.indexOf(one))
    for (const one of some) harness.kill(one)
    for (const at of places) harness.add(at)
    return () => {}
  },
  join: (harness, some) => {
    for (let added = 0; added < some.length; added++) harness.add(harness.instances.length)
    return () => {}
  }
}

export interface RestoreFigures {
  /** Moments at which an instance replaced a row by an older version of it, or brought a removed row back. */
  readonly olderInForce: number
  readonly slowestInForceMs: Millis
  /** Instances that did not know a change after {@link MAX_FOLLOW_TIME}. */
  readonly notFollowing: number
  /** Most calls of all instances to the store in a second after its return. */
  readonly callsPerSecondAtReturn: number
  readonly bytesPerInstanceSecond: number
}

/**
 * One table whose store is restored from older copies one to three times, while writers change rows and write again what was
 * lost, and some instances are cut off, refused, restarted or new.
 *
 * @example
 * const figures = await new RestoreScenario(60, seed, {}).run()
 */
export class RestoreScenario {
  readonly #harness: TableHarness
  readonly #random: Random
  readonly #trouble: Trouble
  /** Newest acknowledged version of each row; undefined where it was removed. */
  readonly #written = new Map<string, number | undefined>()
  /** Newest version that an instance has had in force, by instance and row. */
  readonly #seen = new Map<TableInstance, Map<string, number>>()
  readonly #copies: Array<{ readonly at: Millis, readonly copy: StoreCopy }> = []
  #version = 0
  #nextWriteAt: Millis = millis(0)
  #olderInForce = 0
  #mostCalls = 0

  constructor (instances: number, seed: number, options: TableHarnessOptions) {
    this.#harness = new TableHarness(instances, options)
    this.#random = new SeededRandom(seed)
    const troubles = Object.keys(TROUBLES) as Trouble[]
    this.#trouble = troubles[seed % troubles.length]!
  }

  async run (): Promise<RestoreFigures> {
    const harness = this.#harness
    for (let row = 0; row < ROWS; row++) this.#write(`e${row}`, ++this.#version)
    await harness.start(SETTLE)
    const startedAt = harness.clock.now()
    const bytesBefore = new Map(harness.instances.map((instance) => [instance, instance.sentBytes]))
    await this.#pass(seconds(3 + this.#random.next() * 3), true)
    const restores = 1 + this.#random.below(3)
    for (let restore = 0; restore < restores; restore++) {
      await this.#restore()
      await this.#pass(millis(this.#random.next() * MAX_RESTORE_GAP), true)
    }
    await this.#pass(CONTACT, false)
    const { slowest, notFollowing } = await this.#measureChanges()
    const span = (harness.clock.now() - startedAt) / 1000
    const bytes = harness.instances.map((instance) => (instance.sentBytes - (bytesBefore.get(instance) ?? 0)) / span)
    return {
      olderInForce: this.#olderInForce,
      slowestInForceMs: slowest,
      notFollowing,
      callsPerSecondAtReturn: this.#mostCalls,
      bytesPerInstanceSecond: Math.max(...bytes)
    }
  }

  /** The store is away for a moment and comes back from an older copy; writers write again what it lost. */
  async #restore (): Promise<void> {
    const harness = this.#harness
    const endTrouble = TROUBLES[this.#trouble](harness, harness.instances.filter(() => this.#random.next() < DISTURBED_SHARE))
    await this.#pass(millis(this.#random.next() * MAX_AWAY), true)
    const accesses = harness.instances.map((instance) => [instance, instance.access] as const)
    for (const instance of harness.instances) instance.access = 'refuses'
    await this.#pass(millis(500 + this.#random.next() * MAX_AWAY), false)
    const lost = MIN_LOST + this.#random.next() * (MAX_LOST - MIN_LOST)
    const copy = this.#copies.findLast(({ at }) => at <= harness.clock.now() - lost) ?? this.#copies[0]!
    harness.store.restore(copy.copy)
    this.#copies.splice(this.#copies.indexOf(copy) + 1)
    for (const [instance, access] of accesses) instance.access = access
    await this.#writeAgain()
    endTrouble()
  }

  async #writeAgain (): Promise<void> {
    const harness = this.#harness
    const lost = [...this.#written].filter(([key, version]) => harness.store.get(key) !== version)
    const end = harness.clock.now() + WRITTEN_AGAIN_WITHIN
    const callsBefore = harness.store.calls
    while (harness.clock.now() < end) {
      const [next] = lost
      const isDue = next !== undefined && this.#random.next() < lost.length * 2 * STEP / (end - harness.clock.now())
      if (isDue && lost.shift() !== undefined) harness.store.put(next[0], this.#written.get(next[0]))
      await this.#step()
    }
    for (const [key] of lost) harness.store.put(key, this.#written.get(key))
    this.#mostCalls = Math.max(this.#mostCalls, (harness.store.calls - callsBefore) / (WRITTEN_AGAIN_WITHIN / 1000))
  }

  async #pass (span: Millis, areRowsWritten: boolean): Promise<void> {
    const { clock } = this.#harness
    const end = clock.now() + span
    while (clock.now() < end) {
      if (areRowsWritten && clock.now() >= this.#nextWriteAt) this.#change()
      await this.#step()
    }
  }

  async #step (): Promise<void> {
    const { clock, instances, store } = this.#harness
    await clock.advance(STEP)
    const last = this.#copies.at(-1)
    if (last === undefined || clock.now() - last.at >= COPY_PERIOD) this.#copies.push({ at: clock.now(), copy: store.copy() })
    for (const instance of instances) this.#check(instance)
  }

  #change (): void {
    const { clock } = this.#harness
    this.#nextWriteAt = millis(clock.now() + this.#random.next() * MAX_WRITE_GAP)
    this.#write(`e${this.#random.below(ROWS)}`, this.#random.next() < REMOVED_SHARE ? undefined : ++this.#version)
  }

  #write (key: string, version: number | undefined): void {
    this.#written.set(key, version)
    this.#harness.store.put(key, version)
  }

  /** Counts rows that this instance has in an older version than before, or that are back though it knew of their removal. */
  #check (instance: TableInstance): void {
    const seen = this.#seen.get(instance) ?? new Map<string, number>()
    this.#seen.set(instance, seen)
    for (const [key, value] of instance.known) {
      const version = Number(value)
      if (version < (seen.get(key) ?? 0)) this.#olderInForce++
      seen.set(key, Math.max(version, seen.get(key) ?? 0))
    }
    // A version that is seen again after its removal is older than the removal.
    for (const [key, version] of seen) if (!instance.known.has(key) && Number.isInteger(version)) seen.set(key, version + REMOVAL_STEP)
  }

  async #measureChanges (): Promise<{ readonly slowest: Millis, readonly notFollowing: number }> {
    const { clock, instances } = this.#harness
    let slowest = millis(0)
    let notFollowing = 0
    for (let change = 0; change < LAST_CHANGES; change++) {
      const key = `e${this.#random.below(ROWS)}`
      const took = await this.#harness.change(key, ++this.#version, MAX_FOLLOW_TIME)
      slowest = millis(Math.max(slowest, took ?? MAX_FOLLOW_TIME))
      notFollowing += instances.filter(({ known }) => known.get(key) !== this.#version).length
      await clock.advance(millis(this.#random.next() * MAX_WRITE_GAP))
    }
    return { slowest, notFollowing }
  }
}

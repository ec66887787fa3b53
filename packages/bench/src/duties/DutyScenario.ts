import { millis, seconds, SeededRandom } from '@papayahill/common'
import type { Millis, Random } from '@papayahill/common'
import { DutyHarness } from '@papayahill/duties'
import type { DutyInstance } from '@papayahill/duties'

/** Longest time until gossip has reached all instances, by the smallest number of instances for which it holds. */
const SPREAD_TIMES: ReadonlyArray<readonly [size: number, time: Millis]> = [[200, millis(1000)], [60, millis(400)], [0, millis(50)]]
const QUIET_TIME = seconds(30)
const SETTLE_TIME = seconds(6)
const OUTAGE = seconds(20)
const RECOVERY_LIMIT = seconds(20)

export interface DutyFigures {
  /** Calls with the token of another machine, or in the order A, B, A. */
  readonly actsByTwoHolders: number
  /** Calls with a lower token than one before, and takes of the lease without a greater token. */
  readonly tokensBack: number
  readonly quietCallsPerSecond: number
  /** Store calls in each second of an outage of the store. */
  readonly outageCallsPerSecond: number
  readonly callsPerSecond: number
  /** Slowest times until an instance may act. */
  readonly killMs: number
  readonly stopMs: number
  readonly outageMs: number
}

/** Runs all faults in random order on one deployment, and measures what the holders did. */
export class DutyScenario {
  readonly #harness: DutyHarness
  readonly #random: Random
  readonly #worst = { killMs: 0, stopMs: 0, outageMs: 0 }
  #outageCallsPerSecond = 0

  constructor (size: number, seed: number, checksBeforeSend: boolean) {
    const spreadTime = SPREAD_TIMES.find(([from]) => size >= from)![1]
    this.#random = new SeededRandom(seed)
    this.#harness = new DutyHarness({ size, seed, checksBeforeSend, spreadTime })
  }

  async run (): Promise<DutyFigures> {
    const { store, clock, platform } = this.#harness
    await this.#harness.startAll()
    const quietCallsPerSecond = await this.#callsPerSecond(() => clock.advance(QUIET_TIME))
    const faults = this.#faults()
    while (faults.length > 0) await this.#runFault(faults.splice(this.#random.below(faults.length), 1)[0]!)
    const { sharedTokens, tokensBack, interleaved } = platform.violations
    return {
      actsByTwoHolders: sharedTokens + interleaved,
      tokensBack: tokensBack + this.#takenBack(),
      quietCallsPerSecond,
      outageCallsPerSecond: this.#outageCallsPerSecond,
      callsPerSecond: store.calls / clock.now() * 1000,
      ...this.#worst
    }
  }

  #faults (): Array<() => Promise<void>> {
    return [
      () => this.#kill(),
      () => this.#freeze('stopped'),
      () => this.#freeze('suspended'),
      () => this.#partitionFromStore(),
      () => this.#storeDown(),
      () => this.#storeSlow(),
      () => this.#lostAnswers(),
      () => this.#lateAnswers(),
      () => this.#historyGone(),
      () => this.#olderCopy(),
      () => this.#jumpingClocks(),
      () => this.#rollingRestart(),
      () => this.#cutFromOthers()
    ]
  }

  async #runFault (fault: () => Promise<void>): Promise<void> {
    await this.#recover()
    await fault()
    this.#harness.healAll()
    for (const instance of this.#harness.instances) if (!instance.isRunning) this.#harness.start(instance.number)
    await this.#harness.clock.advance(SETTLE_TIME)
  }

  /** Waits until an instance holds the lease; returns the time that it took. */
  async #recover (isDone = () => this.#harness.holder !== undefined): Promise<Millis> {
    const { clock } = this.#harness
    const begun = clock.now()
    await clock.advanceUntil(isDone, RECOVERY_LIMIT)
    return millis(clock.now() - begun)
  }

  #note (name: 'killMs' | 'stopMs' | 'outageMs', time: Millis): void {
    this.#worst[name] = Math.max(this.#worst[name], time)
  }

  /** The holder; a running instance if none holds the lease. */
  #holder (): DutyInstance {
    const { holder, instances } = this.#harness
    return holder ?? instances.find(({ isRunning }) => isRunning)!
  }

  async #kill (): Promise<void> {
    this.#harness.kill(this.#holder())
    this.#note('killMs', await this.#recover())
  }

  /** Freezes the holder until another one has acted for a while. */
  async #freeze (kind: 'stopped' | 'suspended'): Promise<void> {
    const holder = this.#holder()
    this.#harness.freeze(holder, kind)
    await this.#recover()
    await this.#harness.clock.advance(millis(this.#random.below(2000)))
    this.#harness.resume(holder)
    await this.#harness.clock.advance(SETTLE_TIME)
  }

  async #partitionFromStore (): Promise<void> {
    const { store, instances, clock } = this.#harness
    store.refuse(this.#holder().id)
    for (const { id } of instances) if (this.#random.next() < 0.3) store.refuse(id)
    await clock.advance(OUTAGE)
  }

  async #storeDown (): Promise<void> {
    const { store, clock } = this.#harness
    store.isDown = true
    await clock.advance(OUTAGE)
    this.#outageCallsPerSecond = Math.max(this.#outageCallsPerSecond, await this.#callsPerSecond(() => clock.advance(OUTAGE)))
    store.isDown = false
    this.#note('outageMs', await this.#recover())
  }

  async #storeSlow (): Promise<void> {
    const { store, clock } = this.#harness
    store.latency = millis(500 + this.#random.below(600))
    await clock.advance(OUTAGE)
  }

  async #lostAnswers (): Promise<void> {
    this.#harness.store.lostAnswers = 1 + this.#random.below(6)
    await this.#harness.clock.advance(SETTLE_TIME)
    this.#harness.kill(this.#holder())
    this.#harness.store.lostAnswers = 2
    await this.#harness.clock.advance(SETTLE_TIME)
  }

  async #lateAnswers (): Promise<void> {
    const { store, clock } = this.#harness
    store.lateBy = millis(500 + this.#random.below(4000))
    store.lateCommits = 2
    await clock.advance(SETTLE_TIME)
    this.#harness.kill(this.#holder())
    store.lateCommits = 2
    await clock.advance(SETTLE_TIME)
  }

  async #historyGone (): Promise<void> {
    this.#harness.store.forgetHistory()
    this.#harness.kill(this.#holder())
    await this.#harness.clock.advance(SETTLE_TIME)
  }

  /** Restores a copy from before the last holder, while the holder acts; later an empty one. */
  async #olderCopy (): Promise<void> {
    const { store, clock } = this.#harness
    const copy = store.copy()
    this.#harness.kill(this.#holder())
    await this.#recover()
    await clock.advance(SETTLE_TIME)
    store.restore(copy)
    await clock.advance(millis(this.#random.below(3000)))
    this.#harness.freeze(this.#holder(), 'stopped')
    await clock.advance(SETTLE_TIME)
    store.restore()
    await clock.advance(SETTLE_TIME)
  }

  async #jumpingClocks (): Promise<void> {
    const { instances, clock } = this.#harness
    for (let jump = 0; jump < 10; jump++) {
      for (const { machine } of instances) if (this.#random.next() < 0.3) machine.jump(millis(this.#random.below(10_000) - 5000))
      await clock.advance(millis(this.#random.below(2000)))
      if (jump === 5) this.#harness.freeze(this.#holder(), 'suspended')
    }
  }

  /** Restarts each holder as planned, as fast as one after another becomes it. */
  async #rollingRestart (): Promise<void> {
    for (let restart = 0; restart < 6; restart++) {
      const holder = this.#holder()
      await this.#harness.clock.advance(restart < 3 ? SETTLE_TIME : millis(this.#random.below(1500)))
      void this.#harness.stop(holder)
      const took = await this.#recover(() => this.#harness.holder !== undefined && this.#harness.holder !== holder)
      // The first three have acted for a lease time, so that the next one need not wait.
      if (restart < 3) this.#note('stopMs', took)
      await this.#harness.clock.advance(seconds(1.5))
      this.#harness.start(holder.number)
    }
  }

  /** The holder hears of nobody and nobody of it, but both reach the store. */
  async #cutFromOthers (): Promise<void> {
    this.#harness.network.cut(this.#holder().id)
    await this.#harness.clock.advance(OUTAGE)
  }

  #takenBack (): number {
    const tokens = this.#harness.takenTokens
    return tokens.filter((token, at) => at > 0 && token <= tokens[at - 1]!).length
  }

  async #callsPerSecond (run: () => Promise<void>): Promise<number> {
    const { store, clock } = this.#harness
    const { calls } = store
    const begun = clock.now()
    await run()
    return (store.calls - calls) / (clock.now() - begun) * 1000
  }
}

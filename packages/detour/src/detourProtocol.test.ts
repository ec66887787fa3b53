import { millis, seconds, SeededRandom } from '@papayahill/common'
import type { Json } from '@papayahill/common'
import type { HandOverEnd } from '@papayahill/forwarding'
import { describe, expect, it } from 'vitest'
import { DetourHarness, kilobytes, SERVICE } from './testing/DetourHarness.js'
import type { HarnessInstance } from './testing/DetourHarness.js'

const SEEDS = Array.from({ length: Number(process.env.MODEL_RUNS ?? 30) }, (_none, at) => at + Number(process.env.MODEL_SEED ?? 1))
const IDS = ['i1', 'i2', 'i3', 'i4']
const STEPS = 60

/** One hand-over of an unsafe request, and how it ended. */
interface Played {
  readonly request: string
  end: HandOverEnd | undefined
  /** Whether its answer is not the one that the endpoint gave. */
  isSpoilt: boolean
}

/** Requests among four instances that end, restart and lose links, while messages come late, twice or not at all. */
class Play {
  readonly harness = new DetourHarness(...IDS)
  readonly played: Played[] = []
  readonly #all = new Set<HarnessInstance>()
  readonly #random: SeededRandom

  constructor (seed: number) {
    this.#random = new SeededRandom(seed)
    for (const id of IDS) this.#prepare(this.harness.of(id))
  }

  /** Runs of a request, in all processes that have lived. */
  runsOf (request: string): ReadonlyArray<HarnessInstance> {
    return [...this.#all].flatMap((instance) => instance.runs.filter(({ attempt }) => attempt === request).map(() => instance))
  }

  async run (): Promise<void> {
    for (let step = 0; step < STEPS; step++) {
      this.#step(step)
      await this.harness.clock.advance(millis(this.#random.below(60)))
    }
    for (const left of IDS) for (const right of IDS) this.harness.network.heal(this.harness.of(left).id, this.harness.of(right).id)
    await this.harness.clock.advance(seconds(10))
  }

  #step (step: number): void {
    const steps = [() => this.#restart(), () => this.#cut(), () => this.#heal()]
    const disturb = steps[this.#random.below(12)]
    if (disturb === undefined) this.#handOver(`a${step}`)
    else disturb()
  }

  #randomBytes (): Buffer {
    return kilobytes(200).subarray(this.#random.below(256), this.#random.below(200_000))
  }

  #pick (): HarnessInstance {
    return this.harness.of(IDS[this.#random.below(IDS.length)]!)
  }

  #handOver (request: string): void {
    const origin = this.#pick()
    const given = this.harness.requestOf({ attempt: request, body: this.#randomBytes() })
    const to = origin.router.choose(given, SERVICE, new Set())
    if (to === undefined) return
    const played: Played = { request, end: undefined, isSpoilt: false }
    this.played.push(played)
    const body = given.body!
    void this.harness.handOver(origin.id, to.id, given, { to }).then(({ end }) => {
      played.end = end
      played.isSpoilt = end.kind === 'answered' && !end.body.equals(body)
    })
  }

  #sendToAll (from: HarnessInstance, packed: Json): void {
    for (const id of IDS) from.peers.send(this.harness.of(id).id, 'detour', packed)
  }

  #restart (): void {
    const { id } = this.#pick()
    this.harness.network.kill(id)
    this.#prepare(this.harness.start(id))
  }

  #cut (): void {
    this.harness.network.partition(this.#pick().id, this.#pick().id)
  }

  #heal (): void {
    this.harness.network.heal(this.#pick().id, this.#pick().id)
  }

  #prepare (instance: HarnessInstance): void {
    const { clock } = this.harness
    this.#all.add(instance)
    instance.serve = async ({ signal, body }, sink) => {
      await clock.sleep(millis(this.#random.below(300)))
      if (!signal.aborted) sink.answer(200, [], body!)
    }
    instance.tamper = (_message, packed) => {
      const chance = this.#random.next()
      if (chance < 0.02) return []
      if (chance > 0.9) clock.after(millis(this.#random.below(500)), () => this.#sendToAll(instance, packed))
      return chance < 0.1 ? [packed, packed] : [packed]
    }
  }
}

describe('hand-overs among instances that end, restart and lose messages', () => {
  it.each(SEEDS)('end once, run at most once, and never where they were not taken (seed %i)', async (seed) => {
    const play = new Play(seed)
    await play.run()
    expect(play.played.length).toBeGreaterThan(10)
    expect(play.played.filter(({ end }) => end === undefined)).toEqual([])
    expect(play.played.filter(({ isSpoilt }) => isSpoilt)).toEqual([])
    expect(play.played.filter(({ request }) => play.runsOf(request).length > 1)).toEqual([])
    expect(play.played.filter(({ request, end }) => end?.kind === 'not-taken' && play.runsOf(request).length > 0)).toEqual([])
    expect(play.played.filter(({ request, end }) => end?.kind === 'answered' && play.runsOf(request).length === 0)).toEqual([])
    for (const id of IDS) expect([play.harness.of(id).router.handedOver, play.harness.of(id).router.hosted]).toEqual([0, 0])
  })

  it('end in each way', async () => {
    const ends = new Set<string>()
    for (const seed of SEEDS) {
      const play = new Play(seed)
      await play.run()
      for (const { end } of play.played) ends.add(end!.kind)
    }
    expect([...ends].sort()).toEqual(['answered', 'lost', 'not-taken'])
  })
})

import { millis, seconds } from '@papayahill/common'
import type { Incarnation, Millis } from '@papayahill/common'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { StageGraphRun } from './StageGraphRun.js'
import { chainOf, endpointsOf, StageHarness, workOf } from './testing/StageHarness.js'

const INSTANCES = 3
const STAGES = chainOf(1, 'encode', 'join')
const ENDPOINTS = [...endpointsOf('encode', 2), ...endpointsOf('join', 1)]
const TARGET = seconds(3)
const TIMEOUT = seconds(5)
/** Long enough for every order to end, and for an instance that ended to count as unreachable. */
const SETTLE_TIME = seconds(20)

/** Fraction of the grace period after which every request gets its answer; a call that runs by then ends in the rest. */
const ANSWER_SHARE = 0.8

/** Sequences that CI plays; MODEL_RUNS and MODEL_SEED play others. */
const RUNS = Number(process.env.MODEL_RUNS ?? 120)
const SEED = Number(process.env.MODEL_SEED ?? 1)
const MAX_MILLIS = 600_000

type Step =
  | { readonly kind: 'order', readonly at: number, readonly pieces: number }
  | { readonly kind: 'wait', readonly span: number }
  | { readonly kind: 'restart', readonly at: number, readonly settle: number }
  | { readonly kind: 'stop', readonly at: number, readonly grace: number }
  | { readonly kind: 'cut', readonly at: number }
  | { readonly kind: 'heal', readonly at: number }

const INSTANCE = fc.nat({ max: INSTANCES - 1 })

const STEP: fc.Arbitrary<Step> = fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('order' as const), at: INSTANCE, pieces: fc.integer({ min: 1, max: 6 }) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('wait' as const), span: fc.integer({ min: 1, max: 400 }) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('restart' as const), at: INSTANCE, settle: fc.integer({ min: 0, max: 600 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('stop' as const), at: INSTANCE, grace: fc.integer({ min: 1000, max: 3000 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cut' as const), at: INSTANCE }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('heal' as const), at: INSTANCE }) }
)

/** A request whose stages were ordered, and the process that did so. */
interface Run {
  readonly request: string
  readonly at: number
  readonly incarnation: Incarnation
  hasEnded: boolean
  /** Requests for which its results were made. */
  madeFor: readonly (string | undefined)[]
}

/** Plays steps on three instances that order from each other, and keeps what became of each order. */
class OrderModel {
  readonly harness = new StageHarness(INSTANCES, ENDPOINTS)
  readonly runs: Run[] = []
  #hasBeenCut = false

  async play (steps: readonly Step[]): Promise<void> {
    await this.harness.start()
    for (const step of steps) await this.#apply[step.kind](step as never)
    for (let at = 0; at < INSTANCES; at++) this.#heal(at)
    await this.harness.clock.advance(SETTLE_TIME)
  }

  /** Runs without an end, though the process that ordered them lives. */
  get openRuns (): readonly string[] {
    const isAlive = ({ at, incarnation }: Run): boolean => this.harness.instances[at]!.identity.incarnation === incarnation
    return this.runs.filter((run) => !run.hasEnded && isAlive(run)).map(({ request }) => request)
  }

  /** Runs that got results which were made for another request. */
  get mixedRuns (): readonly string[] {
    return this.runs.filter(({ request, madeFor }) => madeFor.some((other) => other !== request)).map(({ request }) => request)
  }

  get waitingPieces (): number {
    return this.harness.instances.reduce((sum, { coordinator }) => sum + coordinator.waitingPieces, 0)
  }

  readonly #apply: { readonly [Kind in Step['kind']]: (step: Extract<Step, { readonly kind: Kind }>) => Promise<void> | void } = {
    order: ({ at, pieces }) => { void this.#order(at, pieces) },
    wait: async ({ span }) => await this.harness.clock.advance(millis(span)),
    restart: async ({ at, settle }) => await this.harness.restart(at, millis(settle)),
    stop: async ({ at, grace }) => await this.#stop(at, millis(grace)),
    cut: ({ at }) => this.#cut(at),
    heal: ({ at }) => this.#heal(at)
  }

  async #order (at: number, pieces: number): Promise<void> {
    const { identity, context } = this.harness.instances[at]!
    const request = `request ${this.runs.length}`
    const run: Run = { request, at, incarnation: identity.incarnation, hasEnded: false, madeFor: [] }
    this.runs.push(run)
    const graph = new StageGraphRun(context, workOf(this.harness, request, STAGES, [pieces, 1], TARGET, TIMEOUT))
    const results = await graph.run()
    run.hasEnded = true
    if (results.isOk) run.madeFor = results.value.map(({ handle }) => this.harness.endpoints.requestOf(handle))
    graph.release()
  }

  /**
   * A planned stop, and the start of the next process under the same id after the grace period. An order whose coordinator cannot
   * be reached is answered by the layer above, so that sequences with a cut before the stop are not judged here.
   */
  async #stop (at: number, grace: Millis): Promise<void> {
    const { router } = this.harness.instances[at]!
    router.endBy(millis(this.harness.clock.now() + ANSWER_SHARE * grace))
    router.leave()
    await this.harness.clock.advance(grace)
    const { incarnation } = this.#identity(at)
    const open = this.runs.filter((run) => run.incarnation === incarnation && !run.hasEnded)
    if (!this.#hasBeenCut) expect(open.map(({ request }) => request), 'without an answer at the end of the stop').toEqual([])
    await this.harness.restart(at, millis(100))
  }

  #cut (at: number): void {
    this.#hasBeenCut = true
    this.#eachOther(at, (other) => this.harness.network.partition(this.#identity(at), this.#identity(other)))
  }

  #heal (at: number): void {
    this.#eachOther(at, (other) => this.harness.network.heal(this.#identity(at), this.#identity(other)))
  }

  #eachOther (at: number, act: (other: number) => void): void {
    for (let other = 0; other < INSTANCES; other++) if (other !== at) act(other)
  }

  #identity (at: number): StageHarness['instances'][number]['identity'] {
    return this.harness.instances[at]!.identity
  }
}

describe('the protocol of stage orders', () => {
  // Guards against results and inputs of others, orders without an end and work for nobody, whatever restarts, stops and cuts come.
  it('keeps its promises in any sequence of orders, restarts, stops and cuts', async () => {
    await fc.assert(fc.asyncProperty(fc.array(STEP, { minLength: 4, maxLength: 24 }), async (steps) => {
      const model = new OrderModel()
      await model.play(steps)
      expect(model.mixedRuns, 'results of others').toEqual([])
      expect(model.harness.endpoints.foreignInputs, 'inputs of others').toBe(0)
      expect(model.openRuns, 'without an end').toEqual([])
      expect(model.waitingPieces, 'pieces that wait for nobody').toBe(0)
    }), { numRuns: RUNS, seed: SEED })
  }, MAX_MILLIS)
})

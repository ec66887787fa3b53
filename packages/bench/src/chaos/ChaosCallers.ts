import { brand, exponential, millis, seconds } from '@papayahill/common'
import type { IdempotencyKey, Random } from '@papayahill/common'
import type { CallerAnswer, CallerPlan, Deployment, Testbed } from '@papayahill/testbed'

const REQUEST_GAP = millis(70)
const STREAM_SHARE = 0.25
const ONCE_SHARE = 0.4
const RETRY_GAP = seconds(1)
const MAX_TRIES = 90

/** Callers that send a mix, and ask again under the same key until a request that may not be repeated is answered. */
export class ChaosCallers {
  readonly answers: CallerAnswer[] = []
  /** Keys whose caller asked to the end and got no answer, nor the word that it did not run. */
  readonly unresolved = new Set<IdempotencyKey>()
  readonly #testbed: Testbed
  readonly #kit: Deployment
  readonly #random: Random
  readonly #pending = new Set<Promise<void>>()
  #keys = 0
  #isOver = false

  constructor (testbed: Testbed, kit: Deployment, random: Random) {
    this.#testbed = testbed
    this.#kit = kit
    this.#random = random
  }

  start (): void {
    this.#launch()
    this.#testbed.clock.after(millis(exponential(this.#random, REQUEST_GAP)), () => { if (!this.#isOver) this.start() })
  }

  /** Sends nothing new, and resolves once each caller has its end. */
  async stop (): Promise<void> {
    this.#isOver = true
    await Promise.all(this.#pending)
  }

  #launch (): void {
    const done = this.#call().finally(() => { this.#pending.delete(done) })
    this.#pending.add(done)
  }

  async #call (): Promise<void> {
    const dice = this.#random.next()
    const { streamed, once, read } = this.#kit
    if (dice < ONCE_SHARE) return await this.#askOnce({ ...this.#planOf(once), key: brand<IdempotencyKey>(`k${++this.#keys}`) })
    const isStreamed = dice < ONCE_SHARE + STREAM_SHARE
    this.answers.push(await this.#testbed.send({ ...this.#planOf(isStreamed ? streamed : read), isStreamed }))
  }

  async #askOnce (plan: CallerPlan & { readonly key: IdempotencyKey }): Promise<void> {
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const answer = await this.#testbed.send(plan)
      this.answers.push(answer)
      if (answer.outcome === 'answered') return
      await this.#testbed.clock.sleep(RETRY_GAP)
    }
    this.unresolved.add(plan.key)
  }

  #planOf ({ workspace, class: classId }: Deployment['read']): CallerPlan {
    return { workspace, class: classId, body: { input: 'chaos' } }
  }
}

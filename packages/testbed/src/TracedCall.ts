import { brand, hash64, millis } from '@papayahill/common'
import type { BodyDigest, Clock, Failure, InstanceId, Millis, RequestId } from '@papayahill/common'
import type { Trace } from '@papayahill/invariants'
import type { Answer, CallerRequest } from '@papayahill/pipeline'
import type { Result } from 'true-myth'
import { CollectingSink } from './CollectingSink.js'
import type { CallerAnswer, CallerPlan } from './types.js'

export interface TracedCallOptions {
  readonly clock: Clock
  readonly trace: Trace
  readonly plan: CallerPlan
  readonly request: RequestId
  readonly instance: InstanceId
  readonly isRepeatable: boolean
}

const madeForOf = (body: CallerAnswer['body']): RequestId | undefined => {
  if (typeof body !== 'object' || body === null || !('madeFor' in body)) return undefined
  return typeof body.madeFor === 'string' ? brand<RequestId>(body.madeFor) : undefined
}

/** One request from the caller's side; records when it was sent and how it ended in the trace. */
export class TracedCall {
  readonly sink = new CollectingSink()
  readonly #options: TracedCallOptions
  readonly #startedAt: Millis
  readonly #digest: BodyDigest

  constructor (options: TracedCallOptions) {
    const { clock, trace, plan, request, instance, isRepeatable } = options
    this.#options = options
    this.#startedAt = clock.now()
    this.#digest = brand<BodyDigest>(hash64(JSON.stringify(plan.body)))
    trace.add({
      type: 'request-sent',
      at: this.#startedAt,
      request,
      instance,
      workspace: plan.workspace,
      class: plan.class,
      digest: this.#digest,
      key: plan.key,
      isRepeatable
    })
  }

  /** The request in the form in which the edge passes it to the pipeline. */
  toRequest (): CallerRequest {
    const { plan, request } = this.#options
    return {
      id: request,
      workspace: plan.workspace,
      class: plan.class,
      body: plan.body,
      digest: this.#digest,
      key: plan.key,
      isStreamed: plan.isStreamed ?? false,
      startedAt: this.#startedAt,
      signal: plan.signal ?? new AbortController().signal
    }
  }

  /** Records the final answer. */
  end (result: Result<Answer, Failure>): CallerAnswer {
    if (result.isErr) return this.#failed(result.error)
    const { body, isReplayed, chunks } = result.value
    return this.#record({ ...this.#seen(), outcome: 'answered', body, isReplayed }, chunks === this.sink.indexes.length)
  }

  /** Records that the connection broke before the final answer. */
  cut (): CallerAnswer {
    return this.#record({ ...this.#seen(), outcome: 'cut' }, false)
  }

  #failed ({ kind, detail, run, retryAfter }: Failure): CallerAnswer {
    const outcome = run === 'not-run' ? 'refused' : 'failed'
    return this.#record({ ...this.#seen(), outcome, error: kind, detail, run, retryAfter }, true)
  }

  #seen (): Omit<CallerAnswer, 'outcome'> {
    const { clock, request, instance } = this.#options
    const took = millis(clock.now() - this.#startedAt)
    return { request, instance, chunks: [...this.sink.indexes], text: this.sink.text, took }
  }

  #record (answer: CallerAnswer, isWhole: boolean): CallerAnswer {
    const { clock, trace } = this.#options
    trace.add({
      type: 'request-answered',
      at: clock.now(),
      request: answer.request,
      outcome: answer.outcome,
      run: answer.run,
      madeFor: madeForOf(answer.body),
      chunks: answer.chunks,
      isWhole
    })
    return answer
  }
}

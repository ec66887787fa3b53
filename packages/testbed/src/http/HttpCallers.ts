import { brand, exponential, hash64, isJsonObject, millis } from '@papayahill/common'
import type {
  BodyDigest, Clock, IdempotencyKey, InstanceId, Json, Millis, Random, RequestId, RunStatus, WorkspaceId
} from '@papayahill/common'
import type { ClassSettings, OperatorConfig } from '@papayahill/settings'
import { createParser } from 'eventsource-parser'
import { Agent } from 'undici'
import type { Dispatcher } from 'undici'
import type { CallerLog, CallerEntry } from './CallerLog.js'

export interface CallerTarget {
  readonly instance: InstanceId
  readonly origin: string
}

export interface HttpCallersOptions {
  readonly targets: readonly CallerTarget[]
  readonly config: OperatorConfig
  readonly clock: Clock
  readonly random: Random
  readonly callerLog: CallerLog
  /** Mean time between requests, over all callers. */
  readonly gap: Millis
  /** Relative frequency by class, 1 by default. */
  readonly weights?: Readonly<Record<string, number>>
  /** Whether a keyed request without an answer is retried at another instance under the same key. */
  readonly isRetrying?: boolean
}

interface Call {
  readonly workspace: WorkspaceId
  readonly class: ClassSettings
  readonly target: CallerTarget
  readonly startedAt: Millis
  readonly key?: IdempotencyKey
}

const MAX_TRIES = 60
const RETRY_PAUSE = millis(500)

type Answered = CallerEntry['answered']

const madeForOf = (body: Json): RequestId | undefined =>
  isJsonObject(body) && typeof body.madeFor === 'string' ? brand<RequestId>(body.madeFor) : undefined

const runOf = (problem: Json): RunStatus | undefined => {
  const run = isJsonObject(problem) ? problem.run : undefined
  return run === 'not-run' || run === 'unknown' || run === 'ran' ? run : undefined
}

const CUT_ANSWER: Answered = { outcome: 'cut', isWhole: false }

/**
 * Open-loop callers over HTTP: requests of all classes, distributed round-robin over the instances.
 *
 * @example
 * await new HttpCallers({ targets, config, clock, random, callerLog, gap: millis(20) }).run(seconds(10))
 */
export class HttpCallers {
  readonly #options: HttpCallersOptions
  readonly #agent = new Agent({ connections: 128 })
  readonly #running = new Set<Promise<void>>()
  readonly #classes: readonly ClassSettings[]
  #sent = 0
  #nextIndex = 0
  #cuts = 0

  constructor (options: HttpCallersOptions) {
    this.#options = options
    this.#classes = [...options.config.classes.values()].flatMap((settings) =>
      new Array<ClassSettings>(options.weights?.[settings.id] ?? 1).fill(settings))
  }

  /** Sends requests for `span`, then waits for all answers. */
  async run (span: Millis): Promise<void> {
    const { clock, random, gap } = this.#options
    const until = clock.now() + span
    let due = clock.now()
    while (due < until) {
      this.#start()
      due = millis(due + exponential(random, gap))
      const wait = due - clock.now()
      if (wait > 0) await clock.sleep(millis(wait))
    }
    await Promise.all(this.#running)
  }

  close (): Promise<void> {
    return this.#agent.destroy()
  }

  #start (): void {
    const settings = this.#classes[this.#options.random.below(this.#classes.length)]
    if (settings === undefined) return
    const done = this.#callWithRetries(this.#plan(settings)).finally(() => { this.#running.delete(done) })
    this.#running.add(done)
  }

  #plan (settings: ClassSettings): Call {
    const { clock, random } = this.#options
    const workspaces = [...this.#options.config.workspaces.values()]
      .filter(({ classes }) => classes === undefined || classes.includes(settings.id))
    const workspace = workspaces[random.below(workspaces.length)]?.id ?? brand<WorkspaceId>('none')
    this.#sent++
    return {
      workspace,
      class: settings,
      target: this.#nextTarget(),
      startedAt: clock.now(),
      key: settings.repeatable ? undefined : brand<IdempotencyKey>(`k-${this.#sent}`)
    }
  }

  /** Sends a request and, if `isRetrying` is set, retries it under the same key at the next instance. */
  async #callWithRetries (call: Call): Promise<void> {
    let current = call
    for (let tries = 1; ; tries++) {
      const entry = await this.#call(current)
      this.#options.callerLog.add(entry)
      if (!this.#isWorthRetry(entry) || tries === MAX_TRIES) return
      await this.#options.clock.sleep(RETRY_PAUSE)
      current = { ...call, target: this.#nextTarget(), startedAt: this.#options.clock.now() }
    }
  }

  #isWorthRetry ({ sent, answered }: CallerEntry): boolean {
    return this.#options.isRetrying === true && sent.key !== undefined && answered.outcome !== 'answered'
  }

  #nextTarget (): CallerTarget {
    const { targets } = this.#options
    this.#nextIndex++
    return targets[this.#nextIndex % targets.length]!
  }

  async #call (call: Call): Promise<CallerEntry> {
    try {
      return await this.#read(call, await this.#request(call))
    } catch {
      return this.#entry(call, brand<RequestId>(`cut-${this.#cuts++}`), CUT_ANSWER)
    }
  }

  #request (call: Call): Promise<Dispatcher.ResponseData> {
    const { workspace, class: settings, target, key } = call
    return this.#agent.request({
      origin: target.origin,
      path: `/v1/workspaces/${workspace}/classes/${settings.id}`,
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        accept: settings.streamed ? 'text/event-stream' : 'application/json',
        ...(key === undefined ? {} : { 'idempotency-key': key })
      },
      body: this.#body(call)
    })
  }

  async #read (call: Call, answer: Dispatcher.ResponseData): Promise<CallerEntry> {
    const request = brand<RequestId>(String(answer.headers['x-request-id']))
    if (answer.statusCode !== 200) return this.#problemEntry(call, request, await answer.body.json() as Json)
    if (call.class.streamed) return await this.#readStream(call, request, answer)
    const body = await answer.body.json() as Json
    const output = isJsonObject(body) ? body.body ?? body : body
    return this.#entry(call, request, { outcome: 'answered', madeFor: madeForOf(output), isWhole: true })
  }

  async #readStream (call: Call, request: RequestId, answer: Dispatcher.ResponseData): Promise<CallerEntry> {
    const chunks: number[] = []
    let firstChunk: Millis | undefined
    let end: Json | undefined
    let problem: Json | undefined
    const parser = createParser({
      onEvent: ({ event, id, data }) => {
        if (event === 'chunk') {
          firstChunk ??= this.#elapsed(call)
          chunks.push(Number(id))
        }
        if (event === 'end') end = JSON.parse(data) as Json
        if (event === 'error') problem = JSON.parse(data) as Json
      }
    })
    for await (const part of answer.body) parser.feed(String(part))
    if (problem !== undefined) return this.#problemEntry(call, request, problem)
    if (!isJsonObject(end)) return this.#entry(call, request, { ...CUT_ANSWER, chunks })
    const isWhole = end.chunks === chunks.length
    return this.#entry(call, request, { outcome: 'answered', madeFor: madeForOf(end.body ?? null), chunks, isWhole }, { firstChunk })
  }

  #problemEntry (call: Call, request: RequestId, problem: Json): CallerEntry {
    const run = runOf(problem)
    const kind = isJsonObject(problem) ? String(problem.type ?? problem.title) : 'unknown'
    return this.#entry(call, request, { outcome: run === 'not-run' ? 'refused' : 'failed', run, isWhole: true }, { error: kind })
  }

  #entry (call: Call, request: RequestId, answered: Answered, more: Pick<CallerEntry, 'error' | 'firstChunk'> = {}): CallerEntry {
    const sent = {
      at: call.startedAt,
      request,
      instance: call.target.instance,
      workspace: call.workspace,
      class: call.class.id,
      digest: brand<BodyDigest>(hash64(this.#body(call))),
      key: call.key,
      isRepeatable: call.class.repeatable
    }
    return { sent, answered, took: this.#elapsed(call), ...more }
  }

  #body (call: Call): string {
    return JSON.stringify({ input: `sample for ${call.class.id}` })
  }

  #elapsed (call: Call): Millis {
    return millis(this.#options.clock.now() - call.startedAt)
  }
}

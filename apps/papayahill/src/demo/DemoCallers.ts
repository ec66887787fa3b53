import { brand, exponential, hash64, isJsonObject, millis } from '@papayahill/common'
import type {
  BodyDigest, Clock, IdempotencyKey, InstanceId, Json, Millis, Random, RequestId, Run, WorkspaceId
} from '@papayahill/common'
import type { ClassSettings, OperatorConfig } from '@papayahill/settings'
import { createParser } from 'eventsource-parser'
import { Agent } from 'undici'
import type { Dispatcher } from 'undici'
import { DEMO_REQUEST_GAP } from './constants.js'
import type { CallerBook, CallerEntry } from './CallerBook.js'

export interface DemoTarget {
  readonly instance: InstanceId
  readonly origin: string
}

export interface DemoCallersOptions {
  readonly targets: readonly DemoTarget[]
  readonly config: OperatorConfig
  readonly clock: Clock
  readonly random: Random
  readonly book: CallerBook
}

interface Call {
  readonly workspace: WorkspaceId
  readonly class: ClassSettings
  readonly target: DemoTarget
  readonly startedAt: Millis
  readonly key?: IdempotencyKey
}

/** Relative frequency of classes: plain look-ups come often, generation less so. */
const STREAMED_WEIGHT = 1
const PLAIN_WEIGHT = 4

type Answered = CallerEntry['answered']

const madeForOf = (body: Json): RequestId | undefined =>
  isJsonObject(body) && typeof body.madeFor === 'string' ? brand<RequestId>(body.madeFor) : undefined

const runOf = (problem: Json): Run | undefined => {
  const run = isJsonObject(problem) ? problem.run : undefined
  return run === 'not-run' || run === 'unknown' || run === 'ran' ? run : undefined
}

const CUT: Answered = { outcome: 'cut', isWhole: false }

/**
 * Callers of a demo: an open stream of requests of all classes over HTTP, in turn to each instance.
 *
 * @example
 * await new DemoCallers({ targets, config, clock, random, book }).run(seconds(10))
 */
export class DemoCallers {
  readonly #options: DemoCallersOptions
  readonly #agent = new Agent({ connections: 128 })
  readonly #running = new Set<Promise<void>>()
  readonly #classes: readonly ClassSettings[]
  #sent = 0

  constructor (options: DemoCallersOptions) {
    this.#options = options
    this.#classes = [...options.config.classes.values()].flatMap((settings) =>
      new Array<ClassSettings>(settings.streamed ? STREAMED_WEIGHT : PLAIN_WEIGHT).fill(settings))
  }

  /** Sends for `span`, then waits for the last answer. */
  async run (span: Millis): Promise<void> {
    const { clock, random } = this.#options
    const until = clock.now() + span
    let due = clock.now()
    while (due < until) {
      this.#start()
      due = millis(due + exponential(random, DEMO_REQUEST_GAP))
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
    const done = this.#call(this.#plan(settings)).finally(() => { this.#running.delete(done) })
    this.#running.add(done)
  }

  #plan (settings: ClassSettings): Call {
    const { targets, clock, random } = this.#options
    const workspaces = [...this.#options.config.workspaces.values()]
      .filter(({ classes }) => classes === undefined || classes.includes(settings.id))
    const workspace = workspaces[random.below(workspaces.length)]?.id ?? brand<WorkspaceId>('none')
    this.#sent++
    return {
      workspace,
      class: settings,
      target: targets[this.#sent % targets.length]!,
      startedAt: clock.now(),
      key: settings.repeatable ? undefined : brand<IdempotencyKey>(`demo-${this.#sent}`)
    }
  }

  async #call (call: Call): Promise<void> {
    try {
      const answer = await this.#request(call)
      await this.#read(call, answer)
    } catch {
      this.#note(call, brand<RequestId>(`cut-${call.startedAt}`), CUT)
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

  async #read (call: Call, answer: Dispatcher.ResponseData): Promise<void> {
    const request = brand<RequestId>(String(answer.headers['x-request-id']))
    if (answer.statusCode !== 200) return this.#noteProblem(call, request, await answer.body.json() as Json)
    if (call.class.streamed) return await this.#readStream(call, request, answer)
    const body = await answer.body.json() as Json
    const output = isJsonObject(body) ? body.body ?? body : body
    this.#note(call, request, { outcome: 'answered', madeFor: madeForOf(output), isWhole: true })
  }

  async #readStream (call: Call, request: RequestId, answer: Dispatcher.ResponseData): Promise<void> {
    const chunks: number[] = []
    let firstChunk: Millis | undefined
    let end: Json | undefined
    let problem: Json | undefined
    const parser = createParser({
      onEvent: ({ event, id, data }) => {
        if (event === 'chunk') {
          firstChunk ??= this.#since(call)
          chunks.push(Number(id))
        }
        if (event === 'end') end = JSON.parse(data) as Json
        if (event === 'error') problem = JSON.parse(data) as Json
      }
    })
    for await (const part of answer.body) parser.feed(String(part))
    if (problem !== undefined) return this.#noteProblem(call, request, problem)
    if (!isJsonObject(end)) return this.#note(call, request, { ...CUT, chunks })
    const isWhole = end.chunks === chunks.length
    this.#note(call, request, { outcome: 'answered', madeFor: madeForOf(end.body ?? null), chunks, isWhole }, { firstChunk })
  }

  #noteProblem (call: Call, request: RequestId, problem: Json): void {
    const run = runOf(problem)
    const kind = isJsonObject(problem) ? String(problem.type ?? problem.title) : 'unknown'
    this.#note(call, request, { outcome: run === 'not-run' ? 'refused' : 'failed', run, isWhole: true }, { error: kind })
  }

  #note (call: Call, request: RequestId, answered: Answered, more: Pick<CallerEntry, 'error' | 'firstChunk'> = {}): void {
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
    this.#options.book.add({ sent, answered, took: this.#since(call), ...more })
  }

  #body (call: Call): string {
    return JSON.stringify({ input: `sample for ${call.class.id}` })
  }

  #since (call: Call): Millis {
    return millis(this.#options.clock.now() - call.startedAt)
  }
}

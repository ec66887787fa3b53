import { brand, EventRecorder, millis, refusal, SeededRandom, seconds, tokens, VirtualClock } from '@papayahill/common'
import type {
  BodyDigest, CallOutcome, ClassId, DomainId, EndpointId, EndpointIncarnation, Failure, IdempotencyKey, Millis, PipelineId,
  RequestId, RequestRecord, ServiceId, StageId, StageRecord, VersionId, WorkspaceId
} from '@papayahill/common'
import type { ClaimAttempt, ClaimDecision, Claims } from '@papayahill/claims'
import type { CallError, EndpointConnection, EndpointLease, StageAnswer, StageCall, StageChunk } from '@papayahill/endpoints'
import type { Scheduler, StageLeaseRequest } from '@papayahill/scheduling'
import { isolatedQuarantines } from '@papayahill/quarantine'
import { EMPTY_CONFIG } from '@papayahill/settings'
import type { ClassSettings, OperatorConfig, ServiceSettings } from '@papayahill/settings'
import fc from 'fast-check'
import { Result } from 'true-myth'
import { beforeEach, describe, expect, it } from 'vitest'
import { PIPELINE_EVENTS } from './events.js'
import { PipelineServer } from './PipelineServer.js'
import type { Answer, AnswerChunk, AnswerSink, CallerRequest } from './types.js'

const VERSION = brand<VersionId>('v1')
const WORKSPACE = brand<WorkspaceId>('altura')
const FORECAST = millis(50)
const USAGE = { tokensIn: tokens(10), tokensCached: tokens(0), tokensOut: tokens(5), busy: millis(40) }

type AnswerCall = (
  call: StageCall, onChunk: (chunk: StageChunk) => void, signal: AbortSignal
) => Promise<Result<StageAnswer, CallError>>

const serviceOf = (id: string, kind: ServiceSettings['kind']): ServiceSettings => ({
  id: brand<ServiceId>(id),
  kind,
  prices: { perCall: 0, perSecond: 0, perThousandTokensIn: 0, perThousandTokensCached: 0, perThousandTokensOut: 0 } as ServiceSettings['prices'],
  checksFencing: true,
  statusLookup: false,
  callTimeout: seconds(5),
  version: VERSION
})

const classOf = (id: string, more: Partial<ClassSettings> = {}): ClassSettings => ({
  id: brand<ClassId>(id),
  pipeline: brand<PipelineId>(id),
  target: { deadline: seconds(2), attainment: 0.95 },
  repeatable: true,
  keyRequired: false,
  streamed: false,
  ...more
})

const CLASSES = [classOf('guide', { streamed: true }), classOf('order', { repeatable: false, keyRequired: true })]
const STAGES: Readonly<Record<string, readonly string[]>> = { guide: ['encode', 'generate'], order: ['accounts', 'orders'] }

const CONFIG: OperatorConfig = {
  ...EMPTY_CONFIG,
  services: new Map([
    serviceOf('encode', 'encoder'), serviceOf('generate', 'engine'), serviceOf('accounts', 'plain'), serviceOf('orders', 'plain')
  ].map((service) => [service.id, service])),
  classes: new Map(CLASSES.map((settings) => [settings.id, settings])),
  pipelines: new Map(Object.entries(STAGES).map(([id, stages]) => [brand<PipelineId>(id), {
    id: brand<PipelineId>(id),
    stages: stages.map((name) => ({ id: brand<StageId>(name), service: brand<ServiceId>(name) }))
  }])),
  workspaces: new Map([[WORKSPACE, { id: WORKSPACE }]])
}

/** Grants each lease request at once, at the first endpoint that is not excluded. */
class ImmediateScheduler implements Scheduler {
  refusal: Failure | undefined
  retries = 10
  hasSlot = true
  readonly finishedAs: boolean[] = []
  readonly requests: StageLeaseRequest[] = []
  readonly outcomes: CallOutcome[] = []
  isLeaseUsable = true
  readonly #connection: (endpoint: EndpointId) => EndpointConnection

  constructor (connection: (endpoint: EndpointId) => EndpointConnection) {
    this.#connection = connection
  }

  admit (): Result<void, Failure> {
    return this.refusal === undefined ? Result.ok(undefined) : Result.err(this.refusal)
  }

  finished (_request: RequestId, isTargetMet = true): void {
    this.finishedAs.push(isTargetMet)
  }

  async withLease<Value> (request: StageLeaseRequest, use: (lease: EndpointLease) => Promise<Value>): Promise<Result<Value, Failure>> {
    this.requests.push(request)
    const endpoint = ['e1', 'e2', 'e3'].map((id) => brand<EndpointId>(id)).find((id) => !request.exclude.has(id))
    if (endpoint === undefined) return Result.err(refusal('no-endpoint', 'none is left'))
    return Result.ok(await use({
      endpoint,
      incarnation: brand<EndpointIncarnation>('1'),
      version: VERSION,
      domain: brand<DomainId>('d'),
      connection: this.#connection(endpoint),
      isUsable: () => this.isLeaseUsable,
      release: (outcome: CallOutcome, _took: Millis) => { this.outcomes.push(outcome) }
    }))
  }

  takeRetry (): boolean {
    return this.retries-- > 0
  }

  hasFreeSlot (): boolean {
    return this.hasSlot
  }

  forecast (): Millis {
    return FORECAST
  }
}

/** Claims of one instance that record the calls made on them. */
class RecordingClaims implements Claims {
  readonly calls: string[] = []
  decision: ClaimDecision | undefined
  isDispatchAllowed = true
  isReleased = true
  readonly #clock: VirtualClock

  constructor (clock: VirtualClock) {
    this.#clock = clock
  }

  async begin (): Promise<ClaimDecision> {
    this.calls.push('begin')
    await this.#clock.sleep(millis(5))
    return this.decision ?? { kind: 'run', attempt: this.#attempt() }
  }

  listUnknown (): Promise<readonly []> {
    return Promise.resolve([])
  }

  resolve (): Promise<undefined> {
    return Promise.resolve(undefined)
  }

  drain (): Promise<void> {
    return Promise.resolve()
  }

  #attempt (): ClaimAttempt {
    const record = (name: string): Promise<void> => {
      this.calls.push(name)
      return Promise.resolve()
    }
    return {
      dispatch: () => {
        this.calls.push('dispatch')
        return this.isDispatchAllowed
      },
      markNotSent: async () => {
        await record('notSent')
        return this.isReleased
      },
      finish: (outcome) => record(`finish ${outcome.kind}`),
      markLost: () => record('lost')
    }
  }
}

class CallerSink implements AnswerSink {
  readonly chunks: AnswerChunk[] = []
  isReading = true

  chunk (chunk: AnswerChunk): boolean {
    this.chunks.push(chunk)
    return this.isReading
  }

  drained (): Promise<void> {
    return new Promise(() => {})
  }
}

describe('PipelineServer', () => {
  let clock: VirtualClock
  let events: EventRecorder
  let scheduler: ImmediateScheduler
  let claims: RecordingClaims
  let server: PipelineServer
  let sink: CallerSink
  let calls: Array<StageCall & { readonly endpoint: EndpointId }>
  let records: StageRecord[]
  let ends: Array<{ readonly record: RequestRecord, readonly stages: readonly StageRecord[] }>
  /** How endpoints answer, by stage; other stages are answered at once. */
  let answers: Map<string, AnswerCall>

  const done = (call: StageCall, body = `${call.id.stage} of ${call.id.request}`): Result<StageAnswer, CallError> =>
    Result.ok({ call: call.id, body, usage: USAGE })

  const error = (outcome: CallError['outcome'], more: Partial<CallError> = {}): Result<StageAnswer, CallError> =>
    Result.err({ outcome, detail: outcome, ...more })

  const connection = (endpoint: EndpointId): EndpointConnection => ({
    incarnation: brand<EndpointIncarnation>('1'),
    isOpen: true,
    call: async (call, onChunk, signal) => {
      calls.push({ ...call, endpoint })
      await clock.sleep(millis(10))
      return await (answers.get(call.id.stage)?.(call, onChunk, signal) ?? done(call))
    },
    onClose: () => {},
    close: () => {}
  })

  /** Answers the first calls with `first`, and the others successfully. */
  const answerFirstWith = (...first: readonly AnswerCall[]): AnswerCall => {
    let at = 0
    return async (call, onChunk, signal) => await (first[at++]?.(call, onChunk, signal) ?? done(call))
  }

  const streamChunks = (count: number, end: (call: StageCall) => Result<StageAnswer, CallError>): AnswerCall =>
    async (call, onChunk) => {
      for (let index = call.resume?.chunks ?? 0; index < count; index++) {
        onChunk({ call: call.id, index, text: `${index} `, tokens: tokens(1) })
        await clock.sleep(millis(5))
      }
      return end(call)
    }

  const requestOf = (classId: string, more: Partial<CallerRequest> = {}): CallerRequest => ({
    id: brand<RequestId>('r-1'),
    workspace: WORKSPACE,
    class: brand<ClassId>(classId),
    body: { about: 'loops' },
    digest: brand<BodyDigest>('d'),
    key: classId === 'order' ? brand<IdempotencyKey>('k') : undefined,
    isStreamed: false,
    startedAt: clock.now(),
    signal: new AbortController().signal,
    ...more
  })

  const run = async (request: CallerRequest, span = 10_000): Promise<Result<Answer, Failure>> => {
    const answer = server.run(request, sink)
    await clock.advance(millis(span))
    return await answer
  }

  const failureOf = (answer: Result<Answer, Failure>): Failure | undefined => answer.isErr ? answer.error : undefined

  const stagesCalled = (): readonly string[] => calls.map((call) => `${call.id.stage}/${call.id.attempt}@${call.endpoint}`)

  beforeEach(() => {
    clock = new VirtualClock()
    events = new EventRecorder(clock)
    scheduler = new ImmediateScheduler(connection)
    claims = new RecordingClaims(clock)
    sink = new CallerSink()
    calls = []
    records = []
    ends = []
    answers = new Map()
    server = new PipelineServer({
      clock,
      random: new SeededRandom(3),
      scheduler,
      claims,
      config: () => CONFIG,
      versionsFor: () => [VERSION],
      checkBudget: () => Result.ok(undefined),
      observers: [{
        stageEnded: (record) => records.push(record),
        requestEnded: (record, stages) => ends.push({ record, stages })
      }],
      quarantines: isolatedQuarantines(clock),
      log: events
    })
  })

  describe('stages', () => {
    it('run in order, each with the answer of the previous one', async () => {
      const answer = await run(requestOf('guide'))
      expect(answer.isOk && answer.value).toMatchObject({ body: 'generate of r-1', isReplayed: false })
      expect(calls.map((call) => call.body)).toEqual([
        { input: { about: 'loops' }, previous: null }, { input: { about: 'loops' }, previous: 'encode of r-1' }
      ])
    })

    it('leave time for the following stages', async () => {
      await run(requestOf('guide'))
      expect(scheduler.requests.map((request) => request.stageDeadline)).toEqual([2000 - FORECAST, 2000])
    })

    it('are reported to the observers with the request', async () => {
      await run(requestOf('guide'))
      expect(records.map((record) => [record.call.stage, record.outcome, record.waste])).toEqual([
        ['encode', 'done', undefined], ['generate', 'done', undefined]
      ])
      expect(ends[0]?.record).toMatchObject({ outcome: 'answered', isTargetMet: true, took: 20 })
      expect(server.running).toBe(0)
    })
  })

  describe('refusals', () => {
    it('say not-run before anything is sent', async () => {
      scheduler.refusal = refusal('over-capacity', 'full', { retryAfter: millis(700) })
      const answer = await run(requestOf('guide'), 1)
      expect(failureOf(answer)).toMatchObject({ kind: 'over-capacity', run: 'not-run', retryAfter: 700 })
      expect(calls).toHaveLength(0)
    })

    it('never say not-run once a stage was sent', async () => {
      answers.set('encode', () => Promise.resolve(error('failed')))
      scheduler.retries = 0
      expect(failureOf(await run(requestOf('guide')))).toMatchObject({ kind: 'stage-failed', run: 'unknown' })
    })

    it('name the error in the request', async () => {
      expect(failureOf(await run(requestOf('nothing')))?.kind).toBe('unknown-class')
      expect(failureOf(await run(requestOf('guide', { workspace: brand<WorkspaceId>('x') })))?.kind).toBe('unknown-workspace')
      expect(failureOf(await run(requestOf('order', { key: undefined })))?.kind).toBe('key-required')
    })
  })

  describe('an unexpected error of the instance', () => {
    it('ends the request with an unknown run status', async () => {
      claims.begin = () => Promise.reject(new Error('broken'))
      expect(failureOf(await run(requestOf('order')))).toMatchObject({ kind: 'internal', run: 'unknown' })
      expect(server.running).toBe(0)
    })
  })

  describe('retries', () => {
    it('go to another endpoint and mark the first call as waste', async () => {
      answers.set('encode', answerFirstWith(() => Promise.resolve(error('failed'))))
      expect((await run(requestOf('guide'))).isOk).toBe(true)
      expect(stagesCalled()).toEqual(['encode/1@e1', 'encode/2@e2', 'generate/1@e1'])
      expect(records[0]?.waste).toBe('retry')
    })

    it('stop when the budget is used up', async () => {
      scheduler.retries = 1
      answers.set('encode', () => Promise.resolve(error('failed')))
      expect((await run(requestOf('guide'))).isErr).toBe(true)
      expect(calls).toHaveLength(2)
    })

    it('cost no budget if no byte was sent, and the answer is still not-run', async () => {
      scheduler.retries = 0
      answers.set('encode', () => Promise.resolve(error('not-sent')))
      expect(failureOf(await run(requestOf('guide')))).toMatchObject({ kind: 'no-endpoint', run: 'not-run' })
      expect(calls.length).toBeGreaterThan(1)
    })

    it('replace a call that hangs', async () => {
      const hang: AnswerCall = (call, _onChunk, signal) => new Promise((resolve) => {
        signal.addEventListener('abort', () => resolve(error('cancelled')))
      })
      answers.set('encode', answerFirstWith(hang))
      expect((await run(requestOf('guide'))).isOk).toBe(true)
      expect(records[0]?.outcome).toBe('timed-out')
    })

    // Guards against a call that is ended for its silence though no endpoint has a slot for another one.
    it('do not replace a call that hangs while no slot is free', async () => {
      scheduler.hasSlot = false
      const late: AnswerCall = async (call, _onChunk, signal) => {
        await clock.sleep(seconds(1))
        return signal.aborted ? error('cancelled') : done(call)
      }
      answers.set('encode', answerFirstWith(late))
      expect((await run(requestOf('guide'))).isOk).toBe(true)
      expect(stagesCalled()).toEqual(['encode/1@e1', 'generate/1@e1'])
    })
  })

  describe('answers of other calls', () => {
    it('are dropped and logged, and the call is retried', async () => {
      const other = { request: brand<RequestId>('r-9'), stage: brand<StageId>('encode'), attempt: 1 }
      answers.set('encode', answerFirstWith((call) => Promise.resolve(Result.ok({ call: other, body: 'of r-9', usage: USAGE }))))
      const answer = await run(requestOf('guide'))
      expect(answer.isOk && answer.value.body).toBe('generate of r-1')
      expect(calls.at(-1)?.body).toMatchObject({ previous: 'encode of r-1' })
      expect(events.records.map((record) => record.kind)).toContain(PIPELINE_EVENTS.crossedAnswer)
    })
  })

  describe('the deadline', () => {
    it('ends the request at once and cancels its calls', async () => {
      let isCancelled = false
      answers.set('generate', (_call, _onChunk, signal) => new Promise((resolve) => {
        signal.addEventListener('abort', () => {
          isCancelled = true
          resolve(error('cancelled', { usage: USAGE }))
        })
      }))
      scheduler.retries = 0
      const answer = await run(requestOf('guide'))
      expect(failureOf(answer)).toMatchObject({ kind: 'deadline-passed', run: 'unknown' })
      expect(isCancelled).toBe(true)
      expect(ends[0]?.record.took).toBe(2000)
      expect(ends[0]?.stages.map((stage) => stage.waste)).toEqual(['abandoned', 'cancelled'])
    })
  })

  describe('streams', () => {
    const streamed = (): CallerRequest => requestOf('guide', { isStreamed: true })

    it('are resumed at another endpoint, with no chunk repeated or missing', async () => {
      let isFirst = true
      answers.set('generate', async (call, onChunk, signal) => {
        if (!isFirst) return await streamChunks(6, done)(call, onChunk, signal)
        isFirst = false
        return await streamChunks(3, () => error('cut', { cacheExport: 'kv-7' }))(call, onChunk, signal)
      })
      const answer = await run(streamed())
      expect(answer.isOk && answer.value.chunks).toBe(6)
      expect(sink.chunks.map((chunk) => chunk.index)).toEqual([0, 1, 2, 3, 4, 5])
      expect(calls.at(-1)).toMatchObject({ resume: { chunks: 3, text: '0 1 2 ' }, cacheImport: 'kv-7' })
    })

    it('count the chunks of a cut call as served', async () => {
      answers.set('generate', answerFirstWith(streamChunks(3, () => error('cut')), streamChunks(6, done)))
      await run(streamed())
      expect(records.map((record) => record.waste)).toEqual([undefined, undefined, undefined])
    })

    it('are cancelled upstream when the caller disconnects', async () => {
      const gone = new AbortController()
      let isCancelled = false
      answers.set('generate', (_call, _onChunk, signal) => new Promise((resolve) => {
        signal.addEventListener('abort', () => {
          isCancelled = true
          resolve(error('cancelled'))
        })
      }))
      const answer = server.run({ ...streamed(), signal: gone.signal }, sink)
      await clock.advance(millis(50))
      gone.abort()
      await clock.advance(millis(1))
      expect(isCancelled).toBe(true)
      expect(failureOf(await answer)?.kind).toBe('caller-gone')
    })

    it('end if the caller reads too slowly and the buffer is full', async () => {
      sink.isReading = false
      const big = 'x'.repeat(100_000)
      answers.set('generate', async (call, onChunk, signal) => {
        for (let index = 0; index < 100 && !signal.aborted; index++) {
          onChunk({ call: call.id, index, text: big, tokens: tokens(1) })
          await clock.sleep(millis(1))
        }
        return signal.aborted ? error('cancelled') : done(call)
      })
      expect(failureOf(await run(streamed()))?.kind).toBe('slow-caller')
      expect(sink.chunks).toHaveLength(1)
    })
  })

  describe('whatever endpoints do', () => {
    const behaviour = fc.constantFrom<CallError['outcome'] | 'done' | 'hang' | 'late'>(
      'done', 'failed', 'cut', 'crossed', 'refused', 'not-sent', 'timed-out', 'hang', 'late'
    )

    const answerAs = (call: StageCall, kind: string, signal: AbortSignal): Promise<Result<StageAnswer, CallError>> => {
      if (kind === 'done') return Promise.resolve(done(call))
      if (kind === 'late') return clock.sleep(millis(900)).then(() => signal.aborted ? error('cancelled') : done(call))
      if (kind !== 'hang') return Promise.resolve(error(kind as CallError['outcome']))
      return new Promise((resolve) => {
        const timer = clock.after(call.timeout, () => resolve(error('timed-out')))
        signal.addEventListener('abort', () => {
          timer.cancel()
          resolve(error('cancelled'))
        })
      })
    }

    it('each request has one answer in time, and nothing ran if it says "not run"', async () => {
      const scenario = fc.record({ classId: fc.constantFrom('guide', 'order'), kinds: fc.array(behaviour, { maxLength: 8 }) })
      await fc.assert(fc.asyncProperty(scenario, async ({ classId, kinds }) => {
        calls = []
        const outcomes: string[] = []
        const next: AnswerCall = (call, _onChunk, signal) => {
          const kind = kinds[outcomes.length] ?? 'done'
          outcomes.push(kind)
          return answerAs(call, kind, signal)
        }
        for (const stage of ['encode', 'generate', 'accounts', 'orders']) answers.set(stage, next)
        const startedAt = clock.now()
        let endedAt = millis(Infinity)
        const answered = server.run(requestOf(classId), sink).finally(() => { endedAt = clock.now() })
        await clock.advance(seconds(30))
        const answer = await answered
        const ran = outcomes.filter((kind) => kind !== 'not-sent').length
        expect(endedAt - startedAt).toBeLessThanOrEqual(2000)
        expect(server.running).toBe(0)
        if (failureOf(answer)?.run === 'not-run') expect(ran).toBe(0)
        if (classId === 'order') expect(ran).toBeLessThanOrEqual(2)
        if (answer.isOk) expect(answer.value.body).toMatch(/of r-1$/)
      }), { numRuns: 200 })
    })
  })

  describe('a request that may not be repeated', () => {
    it('is claimed after its slot is leased, dispatched once, and its outcome recorded', async () => {
      const answer = await run(requestOf('order'))
      expect(answer.isOk).toBe(true)
      expect(claims.calls).toEqual(['begin', 'dispatch', 'finish answered'])
      expect(stagesCalled()).toEqual(['accounts/1@e1', 'orders/1@e1'])
      expect(calls.map((call) => call.key)).toEqual(['altura/k', 'altura/k'])
    })

    for (const outcome of ['failed', 'timed-out', 'cut', 'crossed', 'refused'] as const) {
      it(`is never sent again after ${outcome}`, async () => {
        answers.set('orders', () => Promise.resolve(error(outcome)))
        expect(failureOf(await run(requestOf('order')))).toMatchObject({ run: 'unknown' })
        expect(calls.filter((call) => call.id.stage === 'orders')).toHaveLength(1)
        expect(claims.calls.at(-1)).toBe('lost')
      })
    }

    it('is claimed again if no byte of it was sent', async () => {
      answers.set('accounts', answerFirstWith(() => Promise.resolve(error('not-sent'))))
      expect((await run(requestOf('order'))).isOk).toBe(true)
      expect(claims.calls).toEqual(['begin', 'dispatch', 'notSent', 'begin', 'dispatch', 'finish answered'])
    })

    it('is not reported as not-run if the claim could not be released', async () => {
      claims.isReleased = false
      answers.set('accounts', () => Promise.resolve(error('not-sent')))
      expect(failureOf(await run(requestOf('order')))).toMatchObject({ run: 'unknown' })
    })

    it('is not sent on a slot that was lost while the claim was read', async () => {
      scheduler.isLeaseUsable = false
      const answer = await run(requestOf('order'))
      expect(failureOf(answer)).toMatchObject({ run: 'not-run' })
      expect(calls).toHaveLength(0)
    })

    it('is not sent if the claim expired', async () => {
      claims.isDispatchAllowed = false
      const answer = await run(requestOf('order'))
      expect(failureOf(answer)).toMatchObject({ kind: 'store-unavailable', run: 'not-run' })
      expect(calls).toHaveLength(0)
    })

    it('returns the outcome of an earlier attempt, even if it would be refused', async () => {
      claims.decision = { kind: 'replay', outcome: { kind: 'answered', body: 'booked' } }
      expect(await run(requestOf('order'))).toMatchObject({ value: { body: 'booked', isReplayed: true } })
      scheduler.refusal = refusal('over-capacity', 'full')
      expect(await run(requestOf('order'))).toMatchObject({ value: { body: 'booked', isReplayed: true } })
      expect(calls).toHaveLength(0)
    })

    it('is refused with the failure that the claim has for the key', async () => {
      const failure: Failure = { kind: 'outcome-unknown', detail: 'sent before', run: 'unknown' }
      claims.decision = { kind: 'refuse', failure }
      scheduler.refusal = refusal('over-capacity', 'full')
      expect(failureOf(await run(requestOf('order')))).toEqual(failure)
    })

    it('continues past its deadline until its outcome is recorded, after the caller has its answer', async () => {
      answers.set('orders', async (call) => {
        await clock.sleep(seconds(3))
        return done(call)
      })
      const answer = server.run(requestOf('order'), sink)
      await clock.advance(millis(2001))
      expect(failureOf(await answer)).toMatchObject({ kind: 'deadline-passed', run: 'unknown' })
      expect(server.running).toBe(1)
      await clock.advance(seconds(2))
      expect(claims.calls.at(-1)).toBe('finish answered')
      expect(server.running).toBe(0)
    })
  })
})

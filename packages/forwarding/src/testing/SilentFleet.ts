import { BacklogTracker } from '@papayahill/batching'
import type { GroupId, PieceOutcome, StageOrder } from '@papayahill/batching'
import { brand, bytes, EventRecorder, millis, seconds, SeededRandom, VirtualClock } from '@papayahill/common'
import type { Clock, DomainId, EndpointId, Failure, Millis, ServiceId } from '@papayahill/common'
import type { AnswerListener, EndpointSocket, SocketFailure, SocketRequest, Stopper } from '@papayahill/connections'
import { Endpoint, EndpointDirectory } from '@papayahill/directory'
import type { BatchProfile, ServingRoute } from '@papayahill/directory'
import { EndpointPerformance } from '@papayahill/performance'
import { Result } from 'true-myth'
import type { CallCheck } from '../CallQuarantine.js'
import { EngineTracker } from '../EngineTracker.js'
import type { ForwardContext } from '../ForwardContext.js'
import { Forwarder } from '../Forwarder.js'
import type { RunEnd } from '../RunEnds.js'
import { newRouteTimes } from '../newRouteTimes.js'
import { SharedRetryBudget } from '../SharedRetryBudget.js'
import { INSTANCE_STOPPED } from '../abortReasons.js'
import { StopTime } from '../StopTime.js'
import type { AnswerNotices, CallerSink, CallWire, ForwardRequest, OutboundCall } from '../types.js'
import { UnsentRequests } from '../UnsentRequests.js'

const POOL = brand<ServiceId>('pool')
const ENCODE = brand<ServiceId>('encode')
const DOMAIN = brand<DomainId>('hall-1')
const GROUP = brand<GroupId>('encode/0')
const RETRY_WINDOW = seconds(10)
const PROFILE: BatchProfile = {
  slots: 1, queue: 2, size: 8, callTime: millis(100), pieceTime: millis(10), resultCapacity: bytes(1_000_000), resultTtl: seconds(4)
}
const NO_QUARANTINES = {
  quarantineOf: () => undefined,
  quarantineAt: () => undefined,
  suspectEndpoint: () => undefined,
  mustWithdraw: () => false,
  callSent: () => {},
  callLost: () => {},
  answerBegan: () => {},
  answerEnded: () => {},
  crashesBefore: () => 0
} as unknown as CallCheck
const REJECTION_DELAY = millis(5)
const NO_LIMIT = { perSecond: undefined, isReadable: true, found: undefined }

/** A time in which an endpoint sends nothing; its work goes on afterwards. */
export interface Silence {
  readonly endpoint: number
  readonly from: number
  readonly span: number
}

export interface SilentFleetOptions {
  readonly endpoints: number
  readonly silences: readonly Silence[]
  readonly kind: 'streaming' | 'safe'
  readonly hasStages: boolean
  /** Retries that the budget allows. */
  readonly retries: number
  /** Connections to each endpoint; one for each call. */
  readonly connections: number
  readonly events?: number
  /** Whether the stages fail when they are run for the second time. */
  readonly failStagesAgain?: boolean
  /** Whether the instance's event loop is late. */
  readonly isLate?: boolean
  /** Time by which the instance reads late what has arrived. */
  readonly readDelay?: Millis
  /** Endpoints to which no connection opens after the first ones. */
  readonly unreachable?: readonly number[]
  /** Endpoints that reject each call after the first ones, as they have no place. */
  readonly full?: readonly number[]
  /** Calls that these, and the former, take before. */
  readonly places?: number
  /** Time of a stage's call. */
  readonly stageTime?: Millis
  /** Slots of each endpoint, by which requests wait for their turn. */
  readonly slots?: number
}

/** One call to an endpoint as the endpoint saw it. */
export interface SeenCall {
  readonly attempt: string
  readonly endpoint: EndpointId
  readonly startedAt: Millis
  endedAt: Millis | undefined
  /** Whether the instance ended it before its answer was complete. */
  isBrokenOff: boolean
}

/** What one caller got. */
export class SilentCaller implements CallerSink {
  readonly controller = new AbortController()
  readonly events: number[] = []
  outcome: 'open' | 'whole' | 'cut' | 'failed' = 'open'
  failure: Failure | undefined
  endedAt: Millis | undefined
  /** Final answers; one for each request. */
  answers = 0
  readonly #clock: Clock
  readonly #deadline: Millis

  constructor (clock: Clock, deadline: Millis) {
    this.#clock = clock
    this.#deadline = deadline
  }

  /** Time from the deadline to the final answer. */
  get lateness (): number {
    return this.endedAt === undefined ? Infinity : this.endedAt - this.#deadline
  }

  answer (): void { this.#finish('whole') }
  start (): void {}
  write (chunk: Buffer): void { for (const [, id] of chunk.toString().matchAll(/^id: (\d+)$/gm)) this.events.push(Number(id)) }
  end (): void { this.#finish('whole') }
  cut (): void { this.#finish('cut') }
  fail (failure: Failure): void {
    this.failure = failure
    this.#finish('failed')
  }

  abandon (): void { this.controller.abort(INSTANCE_STOPPED) }

  #finish (outcome: 'whole' | 'cut' | 'failed'): void {
    this.outcome = outcome
    this.endedAt = this.#clock.now()
    this.answers++
  }
}

/**
 * A forwarder in virtual time before endpoints that send nothing for a time, and then go on.
 *
 * @example
 * const fleet = new SilentFleet({ endpoints: 3, silences: [], kind: 'streaming', hasStages: false, retries: 10, connections: 10 })
 * const caller = fleet.send('a1')
 * await fleet.clock.advance(seconds(20))
 */
export class SilentFleet {
  static readonly FIRST_EVENT = millis(60)
  static readonly PERIOD = millis(100)
  static readonly TIMEOUT = seconds(20)

  readonly clock = new VirtualClock()
  readonly log = new EventRecorder(this.clock)
  readonly calls: SeenCall[] = []
  readonly forwarder: Forwarder
  /** Handles of stage results that were made, and those that were freed. */
  readonly madeHandles: string[] = []
  readonly freedHandles: string[] = []
  readonly #options: SilentFleetOptions
  readonly #random = new SeededRandom(1)
  readonly #open = new Map<EndpointId, number>()
  readonly #stageRuns = new Map<string, number>()
  readonly #route: ServingRoute

  constructor (options: SilentFleetOptions) {
    this.#options = options
    this.#route = {
      name: 'essay',
      host: 'shop.example',
      prefix: '/essay/',
      kind: options.kind,
      timeout: SilentFleet.TIMEOUT,
      target: millis(500),
      priority: 1,
      targets: [{ service: POOL, weight: 1 }],
      maxAttempts: 2,
      stages: options.hasStages ? [{ index: 0, service: ENCODE, after: [], resultBytes: bytes(1000) }] : [],
      isPublic: true,
      longestGap: millis(300),
      isResumable: options.kind === 'streaming',
      regions: []
    }
    this.forwarder = new Forwarder(this.#context(), { requestEnded: (_request, _end: RunEnd) => {} })
  }

  send (attempt: string, timeout = SilentFleet.TIMEOUT): SilentCaller {
    const now = this.clock.now()
    const deadline = millis(now + timeout)
    const caller = new SilentCaller(this.clock, deadline)
    const request: ForwardRequest = {
      attempt,
      method: 'POST',
      path: '/essay/7',
      headers: [],
      body: undefined,
      route: this.#route,
      workspace: undefined,
      priority: 1,
      isAllowedIn: () => true,
      configVersion: 1,
      arrivedAt: now,
      deadline,
      prompt: undefined,
      resumeAfter: undefined,
      pieceCounts: [2],
      pieceKey: 'k',
      signal: caller.controller.signal
    }
    void this.forwarder.serve(request, caller)
    return caller
  }

  /** Time at which an endpoint's work that takes a span from now on has ended, with the times in which it sends nothing. */
  #workedUntil (endpoint: EndpointId, span: number): number {
    let at = this.clock.now() + span
    for (;;) {
      const silence = this.#options.silences.find(({ endpoint: silent, from, span: lasts }) =>
        `e${silent}` === endpoint && at >= from && at < from + lasts)
      if (silence === undefined) return at
      at = silence.from + silence.span
    }
  }

  #context (): ForwardContext {
    const { clock, log } = this
    const random = this.#random
    const directory = new EndpointDirectory({ clock, log, isDomainOut: () => false })
    directory.replaced([...this.#rows(POOL, 'e', this.#options.endpoints), ...this.#rows(ENCODE, 's', 1)], millis(0))
    const performance = new EndpointPerformance({ clock, log })
    const profileOf = (service: ServiceId): BatchProfile | undefined => service === ENCODE ? PROFILE : undefined
    return {
      clock,
      random,
      log,
      wire: WIRE,
      directory,
      connections: {
        acquire: (endpoint: Endpoint) => this.#canAcquire(endpoint) ? this.#socketOf(endpoint) : undefined,
        canAcquire: (endpoint: Endpoint) => this.#canAcquire(endpoint),
        release: () => {}
      },
      engines: new EngineTracker({ random, performance }),
      coldStarts: { canAccept: () => true, recordDispatch: () => {} },
      limits: {
        fairShare: () => Infinity,
        availableIn: () => 0,
        canSend: () => true,
        trySend: () => true,
        callEnded: () => {},
        isUnconfirmed: () => false,
        waitForPlace: (_service: ServiceId, wait: Millis) => clock.sleep(wait)
      },
      quarantines: { onQuarantine: () => {} },
      callQuarantine: { check: () => NO_QUARANTINES, endpointRefused: () => {} },
      unsent: new UnsentRequests(),
      retries: new SharedRetryBudget(clock, () => ({ ratio: 0, window: RETRY_WINDOW, slack: this.#options.retries / 0.7 }), () => 1),
      firstEvents: newRouteTimes(),
      answerTimes: newRouteTimes(),
      performance,
      stopTime: new StopTime(),
      stages: {
        clock,
        log,
        directory,
        backlogs: new BacklogTracker(clock),
        router: { run: (order: StageOrder) => this.#runStage(order), free: this.#free, cancel: () => {}, endBy: () => {} },
        groups: { groupOf: () => GROUP },
        profileOf,
        takeRetry: () => true
      },
      versions: {
        selectCandidates: (_service: ServiceId, _route: unknown, endpoints: readonly Endpoint[]) => endpoints,
        recordCall: () => ({ answerBegan: () => {}, callEnded: () => {} })
      },
      profileOf: () => undefined,
      reach: { reaches: () => true, reachesEndpoint: () => true, onChange: () => {} },
      paths: { noteContact: () => {}, noteNoContact: () => {}, noteSilence: () => {}, noteHang: () => {} },
      arrivals: {
        isPrompt: this.#options.isLate !== true,
        catchUp: () => this.#options.readDelay === undefined ? Promise.resolve() : clock.sleep(this.#options.readDelay)
      },
      detour: { choose: () => undefined },
      domain: DOMAIN
    } as unknown as ForwardContext
  }

  #rows (service: ServiceId, name: string, count: number): Parameters<EndpointDirectory['replaced']>[0] {
    return Array.from({ length: count }, (_none, at) => ({
      key: `${name}${at}`,
      revision: 1,
      value: {
        record: {
          id: brand<EndpointId>(`${name}${at}`),
          service,
          address: { ip: '10.0.0.1', port: 1000 + at },
          domain: DOMAIN,
          version: 'v1',
          slots: this.#options.slots ?? 1000,
          isDraining: false,
          coldFor: millis(0),
          sequence: 1,
          startedAt: undefined
        }
      }
    }))
  }

  async #runStage ({ pieces }: StageOrder): Promise<readonly PieceOutcome[]> {
    const { request } = pieces[0]!
    const runs = (this.#stageRuns.get(request) ?? 0) + 1
    this.#stageRuns.set(request, runs)
    await this.clock.sleep(this.#options.stageTime ?? PROFILE.callTime)
    const endpoint = brand<EndpointId>('s0')
    if (runs > 1 && this.#options.failStagesAgain === true) return pieces.map(() => ({ fault: 'late', endpoint }))
    return pieces.map(({ index }) => {
      const handle = `${request}/${runs}/${index}`
      this.madeHandles.push(handle)
      return { handle, endpoint }
    })
  }

  readonly #free = (_endpoint: EndpointId, handles: readonly string[]): void => { this.freedHandles.push(...handles) }

  #canAcquire ({ id }: Endpoint): boolean {
    return (this.#open.get(id) ?? 0) < this.#options.connections
  }

  #socketOf ({ id }: Endpoint): EndpointSocket {
    this.#open.set(id, 1 + (this.#open.get(id) ?? 0))
    return {
      isUsed: false,
      isUsable: true,
      exchange: (req: SocketRequest, listener: AnswerListener, stopper: Stopper) => this.#exchange(id, req, listener, stopper),
      close: () => {}
    } as unknown as EndpointSocket
  }

  #callsAt (endpoint: EndpointId): number {
    return this.calls.filter((call) => call.endpoint === endpoint).length
  }

  async #exchange (
    endpoint: EndpointId, { headers }: SocketRequest, listener: AnswerListener, stopper: Stopper
  ): Promise<Result<void, SocketFailure>> {
    const [attempt = '', resumeAfter = ''] = headers as readonly string[]
    const { unreachable = [], places = 0 } = this.#options
    if (this.#callsAt(endpoint) >= places && unreachable.some((at) => `e${at}` === endpoint)) {
      await new Promise<void>((resolve) => { stopper.stop = resolve })
      return Result.err({ isSent: false, isRefused: false, isNoAnswer: false, detail: 'stopped' })
    }
    listener.mayStart?.()
    const call: SeenCall = { attempt, endpoint, startedAt: this.clock.now(), endedAt: undefined, isBrokenOff: false }
    this.calls.push(call)
    const stopped = new Promise<void>((resolve) => { stopper.stop = resolve })
    const whole = this.#answer(endpoint, Number(resumeAfter), attempt, listener, () => stopper.isStopped)
    if (stopper.isStopped) stopper.stop?.()
    await Promise.race([stopped, whole])
    call.endedAt = this.clock.now()
    call.isBrokenOff = stopper.isStopped
    this.#open.set(endpoint, this.#open.get(endpoint)! - 1)
    if (!stopper.isStopped) return Result.ok(undefined)
    return Result.err({ isSent: true, isRefused: false, isNoAnswer: false, detail: 'stopped' })
  }

  async #answer (
    endpoint: EndpointId, resumeAfter: number, attempt: string, listener: AnswerListener, isOver: () => boolean
  ): Promise<void> {
    const { kind, events = 24, full = [], places = 0 } = this.#options
    if (this.#callsAt(endpoint) > places && full.some((at) => `e${at}` === endpoint)) {
      await this.clock.sleep(REJECTION_DELAY)
      return listener.onStart({ status: 503, headers: { attempt }, rawHeaders: [] })
    }
    await this.#work(endpoint, SilentFleet.FIRST_EVENT)
    if (isOver()) return
    listener.onStart({ status: 200, headers: { attempt, 'transfer-encoding': 'chunked' }, rawHeaders: [] })
    if (kind === 'safe') return listener.onData(Buffer.from('the answer'))
    for (let id = resumeAfter + 1; id <= events; id++) {
      if (isOver()) return
      listener.onData(Buffer.from(`id: ${id}\ndata: x\n\n`))
      await this.#work(endpoint, SilentFleet.PERIOD)
    }
  }

  async #work (endpoint: EndpointId, span: Millis): Promise<void> {
    await this.clock.sleep(millis(this.#workedUntil(endpoint, span) - this.clock.now()))
  }
}

const WIRE: CallWire = {
  headers: ({ request, resumeAfter }: OutboundCall) => [request.attempt, resumeAfter ?? ''],
  readAnswer: ({ status, headers }): AnswerNotices => ({
    isNotRun: status === 503,
    isOtherEndpoint: false,
    attempt: String(headers.attempt),
    isSigned: true,
    isEventStream: true,
    load: undefined,
    coldFor: undefined,
    isLeaving: false,
    retryAfter: undefined,
    limit: NO_LIMIT,
    rejectionLimit: NO_LIMIT,
    headers: []
  })
}

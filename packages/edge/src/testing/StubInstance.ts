import { brand, millis, SystemClock, tokens } from '@papayahill/common'
import type { Failure, InstanceId, OperatorName } from '@papayahill/common'
import type { ConfigChange, ConfigView } from '@papayahill/control'
import type { EntryInstance } from '@papayahill/instance'
import type { Answer, AnswerSink, CallerRequest } from '@papayahill/pipeline'
import { isolatedQuarantines } from '@papayahill/quarantine'
import { parseOperatorConfig } from '@papayahill/settings'
import type { OperatorConfig } from '@papayahill/settings'
import { Result } from 'true-myth'

/** System clock, for listeners on real sockets. */
export const CLOCK = new SystemClock()

const CONFIG = `
[[domains]]
id = "scl-a"
region = "santiago"
[[services]]
id = "orders"
kind = "plain"
version = "v1"
callTimeout = "3s"
[[pipelines]]
id = "order"
stages = [{ id = "order", service = "orders" }]
[[classes]]
id = "wholesale-order"
pipeline = "order"
repeatable = false
target = { deadline = "3s", attainment = 0.99 }
[[classes]]
id = "build-guide"
pipeline = "order"
repeatable = true
streamed = true
target = { deadline = "8s", attainment = 0.95 }
[[workspaces]]
id = "dealers"
[[workspaces]]
id = "schools"
classes = ["build-guide"]
`

interface Proposal {
  readonly changes: readonly ConfigChange[]
  readonly author: OperatorName
  readonly base: number | undefined
}

const readStubConfig = (): OperatorConfig =>
  parseOperatorConfig(CONFIG, 'stub.toml').unwrapOrElse(() => { throw new Error('the configuration of the stub is invalid') })

type Run = (request: CallerRequest, sink: AnswerSink) => Promise<Result<Answer, Failure>>

const USAGE = { tokensIn: tokens(1), tokensCached: tokens(0), tokensOut: tokens(2), busy: millis(3) }

/** Default answer to a request. */
export const answerTo = (request: CallerRequest, chunks = 0): Answer => ({
  request: request.id, body: { madeFor: request.id, text: 'whole' }, chunks, isReplayed: false, usage: USAGE
})

/** The parts of an instance that the HTTP interfaces use, controlled by a test. */
export class StubInstance {
  readonly self = brand<InstanceId>('ph-1')
  readonly seen: CallerRequest[] = []
  readonly proposed: Proposal[] = []
  isReady = true
  run: Run = (request) => Promise.resolve(Result.ok(answerTo(request)))
  refusal: Failure | undefined
  readonly runner = {
    running: 0,
    run: (request: CallerRequest, sink: AnswerSink): Promise<Result<Answer, Failure>> => {
      this.seen.push(request)
      return this.run(request, sink)
    }
  }

  readonly #view: ConfigView = {
    version: 7,
    config: readStubConfig(),
    author: brand<OperatorName>('ana'),
    unrecordedOuts: new Set()
  }

  readonly config = {
    view: (): ConfigView => this.#view,
    inForce: () => [{ instance: this.self, version: 7 }],
    onChange: () => {},
    propose: (changes: readonly ConfigChange[], author: OperatorName, base?: number) => {
      this.proposed.push({ changes, author, base })
      return Promise.resolve(this.refusal === undefined ? Result.ok({ version: 8, isRecorded: true }) : Result.err(this.refusal))
    }
  }

  readonly roster = {
    view: () => ({ version: 2, members: [], departed: [], confirmedAt: undefined }),
    age: () => millis(Infinity)
  }

  readonly claims = { listUnknown: () => Promise.resolve([]), resolve: () => Promise.resolve(this.refusal) }
  readonly moves = { status: () => [] }
  readonly cost = { rows: () => Promise.resolve([]), forecasts: () => [] }
  readonly metrics = { attainment: () => [], exposition: () => Promise.resolve('up 1\n') }
  readonly orders = { status: () => [], issue: () => Promise.resolve(Result.ok({ id: 'o-1', state: 'done' })) }
  readonly quarantines = isolatedQuarantines(CLOCK)
  readonly pool = { snapshot: () => [] }
  readonly peers = { members: () => [] }

  /** The stub as the type that the HTTP interfaces expect. */
  get entry (): EntryInstance {
    return this as unknown as EntryInstance
  }
}

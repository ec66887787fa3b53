import { brand, hash64, millis, SeededRandom, SILENT_LOG, VirtualClock } from '@papayahill/common'
import type {
  BodyDigest, ClassId, DomainId, EndpointId, Failure, IdempotencyKey, InstanceId, Random, RequestId, WorkspaceId
} from '@papayahill/common'
import { EndpointTable } from '@papayahill/endpoints'
import { Trace } from '@papayahill/invariants'
import { PipelineServer } from '@papayahill/pipeline'
import type { Answer, AnswerSink, CallerRequest } from '@papayahill/pipeline'
import type { ListedEndpoint } from '@papayahill/stores'
import { ServiceScheduler } from '@papayahill/scheduling'
import { isolatedQuarantines } from '@papayahill/quarantine'
import type { OperatorConfig } from '@papayahill/settings'
import { FakeEndpoint, FakeEndpointAccess, FakeFleet, FakeInstanceList } from '@papayahill/standins'
import { Result } from 'true-myth'
import { CallerSink } from './CallerSink.js'
import { VERSION } from './deployments.js'
import { RigClaims } from './RigClaims.js'
import { incarnationOf, RigPeerChannels, staticRoster } from './RigPeerChannels.js'
import type { CallerRecord, Deployment, ServicePlan } from './types.js'

/** Serves requests at one instance: the system itself or one of the baselines. */
export interface Runner {
  run (request: CallerRequest, sink: AnswerSink): Promise<Result<Answer, Failure>>
}

/** Dependencies of the runner of one instance. */
export interface RunnerOptions {
  readonly harness: DeploymentHarness
  readonly self: InstanceId
  readonly domain: DomainId
  readonly random: Random
  readonly access: FakeEndpointAccess
}

export type RunnerFactory = (options: RunnerOptions) => Runner

export interface DeploymentHarnessOptions {
  readonly deployment: Deployment
  readonly seed: number
  readonly runner?: RunnerFactory
}

/** Maximum time until a configuration change reaches an instance. */
const CONFIG_PROPAGATION = millis(500)

/**
 * Endpoints and instances of a deployment in virtual time, with callers that record their requests.
 *
 * @example
 * const harness = new DeploymentHarness({ deployment, seed: 1 })
 * await harness.clock.advance(seconds(5))
 * harness.send(classId, workspace)
 */
export class DeploymentHarness {
  readonly clock = new VirtualClock()
  readonly trace = new Trace()
  readonly fleet = new FakeFleet()
  readonly list: FakeInstanceList
  readonly claims: RigClaims
  readonly peerChannels: RigPeerChannels
  readonly deployment: Deployment
  readonly instances: readonly InstanceId[]
  readonly records: CallerRecord[] = []
  readonly #random: Random
  readonly #runners: Runner[]
  readonly #domainsOut = new Map<InstanceId, Set<DomainId>>()
  #endpoints = 0

  constructor ({ deployment, seed, runner = realRunner }: DeploymentHarnessOptions) {
    this.deployment = deployment
    this.#random = new SeededRandom(seed)
    this.list = new FakeInstanceList(this.clock)
    this.claims = new RigClaims(this.clock)
    this.peerChannels = new RigPeerChannels(this.clock)
    this.instances = Array.from({ length: deployment.instances }, (_, index) => brand<InstanceId>(`entry-${index + 1}`))
    for (const plan of deployment.services) this.#addService(plan)
    for (const endpoint of this.fleet.all()) endpoint.warmUp()
    this.#runners = this.instances.map((self, index) => this.#build(self, index, runner))
  }

  get config (): OperatorConfig {
    return this.deployment.config
  }

  domainsOut (self: InstanceId): ReadonlySet<DomainId> {
    return this.#domainsOut.get(self) ?? new Set()
  }

  endpointsIn (domain: DomainId): readonly FakeEndpoint[] {
    return this.fleet.all().filter((endpoint) => endpoint.listed.domain === domain)
  }

  endpointsOf (service: string): readonly FakeEndpoint[] {
    return this.fleet.all().filter((endpoint) => endpoint.listed.service === service)
  }

  /** Takes a domain out or brings it back; the change reaches each instance after a random delay. */
  setDomainOut (domain: DomainId, isOut: boolean): void {
    this.trace.add({ type: isOut ? 'domain-out' : 'domain-in', at: this.clock.now(), domain })
    for (const self of this.instances) {
      this.clock.after(millis(this.#random.next() * CONFIG_PROPAGATION), () => this.#applyDomainState(self, domain, isOut))
    }
  }

  /** Starts a cold endpoint of the planned service in a domain and adds it to the platform's list. */
  addEndpoint (plan: ServicePlan, domain: DomainId): FakeEndpoint {
    const id = brand<EndpointId>(`${plan.service}-${++this.#endpoints}`)
    const address = { ip: '127.0.0.1', port: this.#endpoints }
    const listed: ListedEndpoint = { id, service: plan.service, version: VERSION, domain, address, state: 'live' }
    const { kind } = this.config.services.get(plan.service)!
    const endpoint = new FakeEndpoint({
      clock: this.clock, random: this.#random.fork(), trace: this.trace, listed, kind, model: plan.model
    })
    this.fleet.add(endpoint)
    this.list.setEndpoint(listed)
    return endpoint
  }

  /** Sends one request to a random instance; the returned record is updated as the answer arrives. */
  send (classId: ClassId, workspace: WorkspaceId, key?: IdempotencyKey): CallerRecord {
    const id = brand<RequestId>(`r-${this.records.length + 1}`)
    const settings = this.config.classes.get(classId)!
    const record: CallerRecord = {
      request: id,
      class: classId,
      workspace,
      key: settings.repeatable ? undefined : key ?? brand<IdempotencyKey>(`key-${id}`),
      sentAt: this.clock.now(),
      worstGap: millis(0),
      chunks: [],
      isWhole: false
    }
    this.records.push(record)
    const at = this.#random.below(this.#runners.length)
    this.#traceSent(record, this.instances[at]!, settings.repeatable)
    const request: CallerRequest = {
      id,
      workspace,
      class: classId,
      body: { about: id },
      digest: digestOf(id),
      key: record.key,
      isStreamed: settings.streamed,
      startedAt: record.sentAt,
      signal: new AbortController().signal
    }
    void this.#runners[at]!.run(request, new CallerSink(this.clock, record)).then((answer) => this.#recordAnswer(record, answer))
    return record
  }

  #recordAnswer (record: CallerRecord, answer: Result<Answer, Failure>): void {
    record.endedAt = this.clock.now()
    record.outcome = answer.isOk ? 'answered' : answer.error.run === 'not-run' ? 'refused' : 'failed'
    if (answer.isErr) Object.assign(record, { error: answer.error.kind, run: answer.error.run, retryAfter: answer.error.retryAfter })
    const madeFor = answer.isOk ? madeForOf(answer.value) : undefined
    record.isWhole = answer.isOk && madeFor === record.request && this.#isStreamWhole(record, answer.value)
    this.trace.add({
      type: 'request-answered',
      at: record.endedAt,
      request: record.request,
      outcome: record.outcome,
      run: record.run,
      madeFor,
      chunks: record.chunks,
      isWhole: record.isWhole
    })
  }

  /** A streamed answer is complete if its chunks arrived in order and their number matches the engine's. */
  #isStreamWhole (record: CallerRecord, answer: Answer): boolean {
    const isStreamed = this.config.classes.get(record.class)!.streamed
    const inOrder = record.chunks.every((index, at) => index === at)
    return !isStreamed || answer.isReplayed || (inOrder && record.chunks.length === answer.chunks && answer.chunks > 0)
  }

  #traceSent (record: CallerRecord, instance: InstanceId, isRepeatable: boolean): void {
    this.trace.add({
      type: 'request-sent',
      at: record.sentAt,
      request: record.request,
      instance,
      workspace: record.workspace,
      class: record.class,
      digest: digestOf(record.request),
      key: record.key,
      isRepeatable
    })
  }

  #applyDomainState (self: InstanceId, domain: DomainId, isOut: boolean): void {
    const out = new Set(this.domainsOut(self))
    if (isOut) out.add(domain)
    else out.delete(domain)
    this.#domainsOut.set(self, out)
  }

  #addService (plan: ServicePlan): void {
    const { domains } = this.deployment
    const first = this.#endpoints
    for (let index = 0; index < plan.replicas; index++) this.addEndpoint(plan, domains[(first + index) % domains.length]!)
  }

  #build (self: InstanceId, index: number, runner: RunnerFactory): Runner {
    const { domains } = this.deployment
    const random = this.#random.fork()
    const access = new FakeEndpointAccess({ clock: this.clock, random: random.fork(), fleet: this.fleet, instance: self })
    return runner({ harness: this, self, domain: domains[index % domains.length]!, random, access })
  }
}

const digestOf = (request: RequestId): BodyDigest => brand<BodyDigest>(hash64(request))

const madeForOf = (answer: Answer): RequestId | undefined => {
  const { body } = answer
  const isNamed = typeof body === 'object' && body !== null && 'madeFor' in body
  return isNamed ? body['madeFor'] as RequestId : undefined
}

/** The system under test: endpoint table, scheduler and pipeline server. */
export const realRunner: RunnerFactory = ({ harness, self, domain, random, access }) => {
  const { clock, list } = harness
  const config = (): OperatorConfig => harness.config
  const pool = new EndpointTable({
    self: { id: self, incarnation: incarnationOf(self) },
    domain,
    regionOf: (of) => config().domains.get(of)?.region,
    clock,
    random: random.fork(),
    access,
    list,
    roster: staticRoster(harness.instances),
    channel: harness.peerChannels.channel(self),
    domainsOut: () => harness.domainsOut(self),
    serviceKind: (service) => config().services.get(service)?.kind,
    log: SILENT_LOG
  })
  const scheduler = new ServiceScheduler({ clock, random: random.fork(), pool, config, log: SILENT_LOG })
  pool.start()
  scheduler.start()
  return new PipelineServer({
    clock,
    random: random.fork(),
    scheduler,
    claims: harness.claims,
    config,
    versionsFor: (service) => [config().services.get(service)!.version],
    checkBudget: () => Result.ok(undefined),
    observers: [],
    quarantines: isolatedQuarantines(clock),
    log: SILENT_LOG
  })
}

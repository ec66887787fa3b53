import { brand, bytes, millis, seconds, SeededRandom, SILENT_LOG, VirtualClock } from '@papayahill/common'
import type { DomainId, InstanceId, Json, Millis, ServiceId } from '@papayahill/common'
import type { ServingRoute } from '@papayahill/directory'
import { StreamRelay } from '@papayahill/forwarding'
import type { CallerSink, ForwardRequest, HandOver, HandOverEnd } from '@papayahill/forwarding'
import type { Peers } from '@papayahill/peers'
import { FakePeerNetwork } from '@papayahill/standins'
import type { FakePeers } from '@papayahill/standins'
import { DetourRouter } from '../DetourRouter.js'
import { unpackMessage } from '../detourMessages.js'
import type { DetourMessage } from '../types.js'

export const SERVICE = brand<ServiceId>('orders')

/** Largest body that the instances take. */
export const MAX_BODY = bytes(2_000_000)

/** Serves a request that was handed over. */
export type Serve = (request: ForwardRequest, sink: CallerSink) => Promise<void>

/** Changes what an instance sends: returns the messages that go out instead of one; an offer goes out in any case. */
export type Tamper = (message: DetourMessage | undefined, packed: Json) => readonly Json[]

export interface HarnessInstance {
  readonly id: InstanceId
  readonly peers: FakePeers
  readonly router: DetourRouter
  /** Requests that peers handed over, as they began to run here. */
  readonly runs: ForwardRequest[]
  serve: Serve
  tamper: Tamper
  isReaching: boolean
  isAccepting: boolean
  configVersion: number
  loopDelay: Millis
}

const answerAll: Serve = (_request, sink) => {
  sink.answer(200, ['x-by', 'endpoint'], Buffer.from('ok'))
  return Promise.resolve()
}

export const routeOf = (kind: ServingRoute['kind']): ServingRoute => ({
  name: 'order',
  host: 'shop.example',
  prefix: '/order/',
  kind,
  timeout: seconds(4),
  target: millis(200),
  priority: 1,
  targets: [{ service: SERVICE, weight: 1 }],
  maxAttempts: 2,
  stages: [],
  isPublic: true,
  isResumable: kind === 'streaming',
  regions: []
})

const DEAF_SINK: CallerSink = {
  answer: () => {}, start: () => {}, write: () => {}, end: () => {}, cut: () => {}, fail: () => {}, abandon: () => {}
}

/** What a caller got. */
export interface Received {
  readonly end: HandOverEnd
  /** Bytes of a stream. */
  readonly streamed: string
}

const tamperedPeers = (node: FakePeers, tamper: () => Tamper): Peers => new Proxy<Peers>(node, {
  get: (_target, name: keyof Peers) => {
    if (name === 'send') {
      return (to: InstanceId, topic: 'detour', packed: Json) => {
        for (const message of tamper()(unpackMessage(packed), packed)) node.send(to, topic, message)
      }
    }
    if (name === 'ask') {
      return (...given: Parameters<Peers['ask']>) => {
        for (const copy of tamper()(unpackMessage(given[2]), given[2]).slice(1)) void node.ask(given[0], given[1], copy, given[3])
        return node.ask(...given)
      }
    }
    const value = node[name]
    return typeof value === 'function' ? value.bind(node) : value
  }
})

/** Instances with fake links whose forwarders are scripts, in virtual time. */
export class DetourHarness {
  readonly clock = new VirtualClock()
  readonly network = new FakePeerNetwork(this.clock)
  readonly instances = new Map<string, HarnessInstance>()
  readonly #random = new SeededRandom(1)

  constructor (...ids: readonly string[]) {
    for (const id of ids) this.start(id)
  }

  /** Starts an instance, or restarts it under its id. */
  start (id: string, domain = 'd1'): HarnessInstance {
    const { clock } = this
    const node = this.network.join(brand<InstanceId>(id), brand<DomainId>(domain))
    const random = this.#random
    const runs: ForwardRequest[] = []
    const instance: Omit<HarnessInstance, 'router'> = {
      id: node.self,
      peers: node,
      runs,
      serve: answerAll,
      tamper: (_message, packed) => [packed],
      isReaching: true,
      isAccepting: true,
      configVersion: 1,
      loopDelay: millis(0)
    }
    const router = new DetourRouter({
      clock,
      random,
      log: SILENT_LOG,
      peers: tamperedPeers(node, () => instance.tamper),
      reach: {
        reaches: () => instance.isReaching,
        peersReaching: () => node.members().filter((member) => this.instances.get(member.id)?.isReaching !== false)
      },
      resolver: {
        resolve: ({ configVersion }) => configVersion > instance.configVersion
          ? 'older'
          : { route: routeOf('unsafe'), isAllowedIn: () => true, configVersion: instance.configVersion, maxBody: MAX_BODY }
      },
      domain: node.domain,
      capacity: 0.1,
      loopDelay: { get current () { return instance.loopDelay } },
      isAccepting: () => instance.isAccepting,
      serve: async (request, sink) => {
        runs.push(request)
        await instance.serve(request, sink)
      }
    })
    const started = Object.assign(instance, { router })
    this.instances.set(id, started)
    return started
  }

  of (id: string): HarnessInstance {
    return this.instances.get(id)!
  }

  requestOf (more: Partial<ForwardRequest> = {}): ForwardRequest {
    return {
      attempt: 'a1',
      method: 'POST',
      path: '/order/7?x=1',
      headers: ['x-one', 'ä'],
      body: Buffer.from('the body'),
      route: routeOf('unsafe'),
      workspace: undefined,
      priority: 1,
      isAllowedIn: () => true,
      configVersion: 1,
      arrivedAt: this.clock.now(),
      deadline: millis(this.clock.now() + seconds(2)),
      prompt: undefined,
      resumeAfter: undefined,
      pieceCounts: [],
      pieceKey: undefined,
      signal: new AbortController().signal,
      ...more
    }
  }

  /** Hands a request over and returns its end; the time must be advanced meanwhile. */
  async handOver (from: string, to: string, request = this.requestOf(), more: Partial<HandOver> = {}): Promise<Received> {
    const member = this.of(from).peers.members().find(({ id }) => id === to)!
    let streamed = ''
    const sink: CallerSink = { ...DEAF_SINK, write: (chunk) => { streamed += chunk.toString() } }
    const relay = request.route.kind === 'streaming' ? new StreamRelay(this.clock, sink, request.resumeAfter) : undefined
    const state = { runs: 0, isCounted: false, endsAt: request.deadline, relay, mayReplace: () => true }
    const given = { request, service: SERVICE, to: member, ...state, ...more }
    const end = await this.of(from).router.handOver(given)
    return { end, streamed }
  }

  /** Hands a request over, and advances the time by a span. */
  async endOf (span: Millis, ...given: Parameters<DetourHarness['handOver']>): Promise<Received | undefined> {
    let received: Received | undefined
    void this.handOver(...given).then((one) => { received = one })
    await this.clock.advance(span)
    return received
  }
}

const EVERY_BYTE = Buffer.from(Array.from({ length: 256 }, (_none, at) => at))

/** Bytes of every value. */
export const kilobytes = (count: number): Buffer => Buffer.alloc(count * 1024, EVERY_BYTE)

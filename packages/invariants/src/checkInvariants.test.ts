import { brand, millis } from '@papayahill/common'
import type {
  BodyDigest, ClassId, DomainId, EndpointId, EndpointIncarnation, IdempotencyKey, InstanceId, RequestId, ServiceId, StageId,
  VersionId, WorkspaceId
} from '@papayahill/common'
import { describe, expect, it } from 'vitest'
import { checkInvariants, Trace } from './index.js'
import type { InvariantName, TraceEvent, TraceEventOf } from './index.js'

const INSTANCE = brand<InstanceId>('i1')
const REQUEST = brand<RequestId>('r1')
const OTHER = brand<RequestId>('r2')
const KEY = brand<IdempotencyKey>('order-7')
const WORKSPACE = brand<WorkspaceId>('norte')
const ENDPOINT = brand<EndpointId>('e1')
const DOMAIN = brand<DomainId>('d1')
const SERVICE = brand<ServiceId>('orders')
const VERSION = brand<VersionId>('v2')

const sent = (part: Partial<TraceEventOf<'request-sent'>> = {}): TraceEvent => ({
  type: 'request-sent',
  at: millis(0),
  request: REQUEST,
  instance: INSTANCE,
  workspace: WORKSPACE,
  class: brand<ClassId>('order'),
  digest: brand<BodyDigest>('x'),
  isRepeatable: false,
  ...part
})

const answered = (part: Partial<TraceEventOf<'request-answered'>> = {}): TraceEvent => ({
  type: 'request-answered', at: millis(100), request: REQUEST, outcome: 'answered', madeFor: REQUEST, isWhole: true, ...part
})

const work = (part: Partial<TraceEventOf<'work-started'>> = {}): TraceEvent => ({
  type: 'work-started',
  at: millis(50),
  endpoint: ENDPOINT,
  incarnation: brand<EndpointIncarnation>('e1@0'),
  domain: DOMAIN,
  service: SERVICE,
  version: VERSION,
  call: { request: REQUEST, stage: brand<StageId>('book'), attempt: 1 },
  running: 1,
  maxConcurrency: 2,
  isWarm: false,
  isSilentRestart: false,
  ...part
})

const effect = (at: number): TraceEvent => ({
  type: 'effect', at: millis(at), service: SERVICE, workspace: WORKSPACE, key: KEY, request: REQUEST
})

const inForce = (at: number, version: number, digest = `c${version}`): TraceEvent => ({
  type: 'config-in-force', at: millis(at), instance: INSTANCE, incarnation: 1, version, digest
})

/** An attempt is cut by the death of its instance after its effect under `key`; its retry gets what was made for it. */
const cutAndRetried = (key: IdempotencyKey): readonly TraceEvent[] => {
  const [cut, unseen] = [brand<RequestId>('cut-0'), brand<RequestId>('ph-2-1')]
  return [
    sent({ request: cut, key: KEY }),
    { type: 'effect', at: millis(60), service: SERVICE, workspace: WORKSPACE, key, request: unseen },
    { type: 'instance-died', at: millis(80), instance: INSTANCE },
    answered({ request: cut, outcome: 'cut', madeFor: undefined, isWhole: false }),
    sent({ at: millis(600), request: OTHER, key: KEY }),
    answered({ at: millis(700), request: OTHER, madeFor: unseen })
  ]
}

const violatedInvariants = (events: readonly TraceEvent[]): readonly InvariantName[] => {
  const trace = new Trace()
  for (const event of events) trace.add(event)
  return [...new Set(checkInvariants(trace).map((violation) => violation.invariant))]
}

describe('checkInvariants', () => {
  describe('on a trace without violations', () => {
    it('returns none', () => {
      expect(violatedInvariants([sent({ key: KEY }), work(), effect(60), answered({ chunks: [0, 1, 2] })])).toEqual([])
    })

    it('allows a later request under the same key to get the first one\'s answer', () => {
      const events = [sent({ key: KEY }), answered(), sent({ key: KEY, request: OTHER }), answered({ request: OTHER })]
      expect(violatedInvariants(events)).toEqual([])
    })

    it('allows a retry to get what was made for an attempt that was cut before its caller knew its id, under the same key', () => {
      expect(violatedInvariants(cutAndRetried(KEY))).toEqual([])
    })

    it('allows an answer that was cut by the death of its instance', () => {
      const death: TraceEvent = { type: 'instance-died', at: millis(80), instance: INSTANCE }
      expect(violatedInvariants([sent(), death, answered({ outcome: 'cut', isWhole: false })])).toEqual([])
    })
  })

  describe('on a violation', () => {
    const cases: ReadonlyArray<readonly [string, InvariantName, readonly TraceEvent[]]> = [
      ['a lost request', 'results-intact', [sent()]],
      ['a duplicate answer', 'results-intact', [sent(), answered(), answered()]],
      ['an answer that was made for another request', 'results-intact', [sent(), sent({ request: OTHER }), answered({ request: OTHER }), answered()]],
      ['a retry\'s answer that was made for a cut attempt under another key', 'results-intact', cutAndRetried(brand<IdempotencyKey>('other'))],
      ['work above the capacity of a cold endpoint', 'cold-start-borne', [work({ running: 3 })]],
      ['work in a domain that is out', 'domain-out-respected', [{ type: 'domain-out', at: millis(0), domain: DOMAIN }, work({ at: millis(3001) })]],
      ['work at a leaving endpoint', 'leaving-respected', [{ type: 'endpoint-leaving', at: millis(0), endpoint: ENDPOINT }, work({ at: millis(3001) })]],
      ['work for a version known to be bad', 'bad-version-contained', [{ type: 'evidence-suffices', at: millis(0), service: SERVICE, version: VERSION }, work({ at: millis(2001) })]],
      ['an incomplete answer', 'answers-whole', [sent(), answered({ isWhole: false })]],
      ['a missing chunk', 'answers-whole', [sent(), answered({ chunks: [0, 2] })]],
      ['a duplicate chunk', 'answers-whole', [sent(), answered({ chunks: [0, 1, 1] })]],
      ['a cut answer of a running instance', 'answers-whole', [sent(), answered({ outcome: 'cut', isWhole: false })]],
      ['a false not-run under a key', 'not-run-true', [sent({ key: KEY }), effect(60), answered({ outcome: 'refused', run: 'not-run' })]],
      ['a false not-run without a key', 'not-run-true', [sent(), work(), answered({ outcome: 'refused', run: 'not-run' })]],
      ['two effects under one key', 'at-most-once', [effect(10), effect(20)]],
      ['a request cut by a planned stop', 'planned-stop-graceful', [sent(), { type: 'instance-stopping', at: millis(1), instance: INSTANCE }, answered({ outcome: 'cut', isWhole: false })]],
      ['a configuration that reverts to an older version', 'config-monotone', [inForce(0, 2), inForce(10, 1)]],
      ['one version with two different contents', 'config-monotone', [inForce(0, 2), inForce(10, 2, 'other')]],
      ['a configuration that is not in force in time', 'config-monotone', [{ type: 'config-accepted', at: millis(0), version: 2, digest: 'c2' }, inForce(8001, 1)]]
    ]

    it.each(cases)('detects %s', (_name, invariant, events) => {
      expect(violatedInvariants(events)).toContain(invariant)
    })
  })
})

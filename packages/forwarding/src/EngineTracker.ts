import { CROSS_DOMAIN_MILLIS_PER_BYTE } from '@papayahill/batching'
import { firstByRendezvous, hash64, millis, tokens } from '@papayahill/common'
import type { Millis, Random, ServiceId, Tokens } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import type { EndpointPerformance } from '@papayahill/performance'
import { LRUCache } from 'lru-cache'
import {
  AFFINITY_WEIGHT, MAX_CACHED_PARTS, PREFILL_TOKENS_PER_MILLI, PROMPT_WORK_KEY, RUNNING_REQUEST_COST, STEP_COUNT_WEIGHT, STEP_WORK_KEY
} from './constants.js'
import type { PlacementCriteria, Prompt } from './types.js'

interface EngineState {
  /** Uncached prompt tokens of running calls. */
  pendingPrefillTokens: number
  /** Hashes of the prompt parts in its cache. */
  readonly parts: LRUCache<string, true>
}

interface HashedPart {
  readonly hash: string
  readonly size: Tokens
}

/** The prompt part that identifies a session for affinity; the last part is unique to the request. */
const sessionPart = ({ parts }: Prompt): string | undefined => parts.at(-2)?.id ?? parts.at(-1)?.id

/** One unit of an engine's work: a token of a prompt, and a step of a generation. */
const PROMPT_TOKEN = { kind: 'prompt', key: PROMPT_WORK_KEY, amount: 1 } as const
const STEP = { kind: 'step', key: STEP_WORK_KEY, amount: 1 } as const

export interface EngineTrackerOptions {
  readonly random: Random
  readonly performance: EndpointPerformance
}

/**
 * Chooses engines by their pending prefill work and by the prompt prefixes in their cache.
 *
 * @example
 * const tracker = new EngineTracker({ random, performance })
 * const engine = tracker.choose({ endpoints, exclude, prompt, domain, inputBytes, now })
 */
export class EngineTracker {
  readonly #options: EngineTrackerOptions
  /** By incarnation: calls that end after their engine is gone must not change the state of its successor, nor keep their own. */
  readonly #states = new WeakMap<Endpoint, EngineState>()
  /** Callers choose the ids of parts, and an id may be a slice that keeps its whole header in memory: only hashes are kept. */
  readonly #hashed = new WeakMap<Prompt, readonly HashedPart[]>()
  /** Usual number of steps of a service's streams. */
  readonly #stepCounts = new Map<ServiceId, number>()

  constructor (options: EngineTrackerOptions) {
    this.#options = options
  }

  choose (criteria: PlacementCriteria): Endpoint | undefined {
    let best: Endpoint | undefined
    let bestCost = Infinity
    const affinityEngine = this.#affinityEngine(criteria)
    const isLearnt = this.#options.performance.isActive(criteria.endpoints)
    for (const endpoint of criteria.endpoints) {
      if (criteria.exclude.has(endpoint.id)) continue
      const cost = this.#cost(endpoint, criteria, endpoint === affinityEngine, isLearnt)
      if (cost < bestCost) [best, bestCost] = [endpoint, cost]
    }
    return best
  }

  /** Records a request sent to the engine and returns the prompt tokens that are not in its cache. */
  recordDispatch (endpoint: Endpoint, prompt: Prompt): Tokens {
    const state = this.#stateOf(endpoint)
    const uncachedTokens = this.#uncachedTokens(state, prompt)
    state.pendingPrefillTokens += uncachedTokens
    for (const { hash } of this.#partsOf(prompt)) state.parts.set(hash, true)
    return uncachedTokens
  }

  /** Removes a prompt's uncached tokens from the pending work when its call has ended. */
  recordCallEnd (endpoint: Endpoint, uncachedTokens: Tokens): void {
    const state = this.#stateOf(endpoint)
    state.pendingPrefillTokens = Math.max(0, state.pendingPrefillTokens - uncachedTokens)
  }

  /** Prompt tokens that the engine reads before it generates the first event of a request sent now. */
  pendingTokens (endpoint: Endpoint, prompt: Prompt): number {
    const state = this.#stateOf(endpoint)
    return state.pendingPrefillTokens + this.#uncachedTokens(state, prompt)
  }

  /** Records the number of events of a complete stream. */
  recordSteps (service: ServiceId, events: number): void {
    const usual = this.#stepCounts.get(service) ?? events
    this.#stepCounts.set(service, usual + STEP_COUNT_WEIGHT * (events - usual))
  }

  /** The session's engine by rendezvous hashing, so that all instances prefer the same one. */
  #affinityEngine ({ endpoints, prompt }: PlacementCriteria): Endpoint | undefined {
    const part = prompt === undefined ? undefined : sessionPart(prompt)
    return part === undefined ? undefined : firstByRendezvous(part, endpoints, ({ id }) => id)
  }

  /** Estimated delay of the request at the engine; another failure domain or a cold engine adds 1 ms, as a tie-breaker. */
  #cost (
    endpoint: Endpoint, { prompt, domain, inputBytes, now }: PlacementCriteria, hasAffinity: boolean, isLearnt: boolean
  ): Millis {
    const state = this.#stateOf(endpoint)
    const ownTokens = prompt === undefined ? 0 : this.#uncachedTokens(state, prompt)
    const sharedTokens = prompt === undefined ? 0 : prompt.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0)
    const prefillTokens = state.pendingPrefillTokens + ownTokens - (hasAffinity ? AFFINITY_WEIGHT * sharedTokens : 0)
    let transferTime = domain === undefined || domain === endpoint.domain ? 0 : 1
    for (const [from, size] of inputBytes) if (from !== endpoint.domain) transferTime += size * CROSS_DOMAIN_MILLIS_PER_BYTE
    const coldPenalty = endpoint.isCold(now) ? 1 : 0
    const engineTime = isLearnt ? this.#learntTime(endpoint, prefillTokens) : assumedTime(endpoint, prefillTokens)
    return millis(engineTime + transferTime + coldPenalty)
  }

  /** Time to read the tokens and to generate as many steps as usual, by the speed learnt of the engine and its load. */
  #learntTime (endpoint: Endpoint, prefillTokens: number): number {
    const { random, performance } = this.#options
    const load = performance.load(endpoint) + random.next()
    const tokenTime = performance.expectedTime(endpoint, PROMPT_TOKEN, 0) ?? 1 / PREFILL_TOKENS_PER_MILLI
    const stepTime = performance.usualTime(endpoint.service, STEP)
    const steps = this.#stepCounts.get(endpoint.service) ?? 0
    const factor = performance.loadedFactor(endpoint, 'step', load)
    const generation = stepTime === undefined ? RUNNING_REQUEST_COST * load : stepTime * steps * factor
    return prefillTokens * tokenTime + generation
  }

  #uncachedTokens (state: EngineState, prompt: Prompt): Tokens {
    let cached = 0
    for (const { hash, size } of this.#partsOf(prompt)) {
      if (!state.parts.has(hash)) break
      cached += size
    }
    return tokens(Math.max(0, prompt.tokensIn - cached))
  }

  #partsOf (prompt: Prompt): readonly HashedPart[] {
    const known = this.#hashed.get(prompt)
    if (known !== undefined) return known
    const parts = prompt.parts.map(({ id, tokens: size }) => ({ hash: hash64(id), size }))
    this.#hashed.set(prompt, parts)
    return parts
  }

  #stateOf (endpoint: Endpoint): EngineState {
    const known = this.#states.get(endpoint)
    if (known !== undefined) return known
    const state: EngineState = { pendingPrefillTokens: 0, parts: new LRUCache({ max: MAX_CACHED_PARTS }) }
    this.#states.set(endpoint, state)
    return state
  }
}

/** The same where nothing is learnt, by assumed speeds and this instance's own calls. */
const assumedTime = ({ running }: Endpoint, prefillTokens: number): number =>
  prefillTokens / PREFILL_TOKENS_PER_MILLI + running * RUNNING_REQUEST_COST

import { brand, millis } from '@papayahill/common'
import type { Clock, EndpointId, Millis } from '@papayahill/common'
import { scopeIdOf } from '../scopeIdOf.js'
import type { PartId, RequestParts, ScopedIncarnation, ScopeId } from '../types.js'

/** Bounds of the time from a request's arrival to the first event of its answer. */
const MIN_PREFILL = millis(60)
const MAX_PREFILL = millis(300)
/** Time from the first event to the end. */
const ANSWER_TIME = millis(800)
/** Time after a crash until the engine starts again. */
const DOWNTIME = millis(3000)

/** A request at an engine. */
export interface EngineCall {
  readonly parts: RequestParts
  /** The request as a whole. */
  readonly whole: PartId
  readonly onBegun: () => void
  /** The connection ended; `isBegun` if the answer had begun. */
  readonly onLost: (isBegun: boolean) => void
  readonly onDone: () => void
  /** Uniform in [0, 1): how long its prompt takes. */
  readonly size: number
}

interface RunningCall {
  readonly call: EngineCall
  isBegun: boolean
}

/** A crash, and the deadly part or request that caused it; undefined if another fault did. */
export interface EngineCrash {
  readonly at: Millis
  readonly part: PartId | undefined
}

export interface SimulatedEngineOptions {
  readonly clock: Clock
  readonly name: string
  readonly version: string
  readonly isDeadly: (part: PartId) => boolean
  /** Whether it crashes in the middle of an answer instead of at its begin. */
  readonly crashesMidway: boolean
  readonly crashes: EngineCrash[]
}

/**
 * An engine in virtual time that crashes when it begins an answer on a deadly part, and starts again as another incarnation.
 *
 * @example
 * engine.serve({ parts, size, onBegun, onLost, onDone })
 */
export class SimulatedEngine {
  readonly #options: SimulatedEngineOptions
  readonly scope: ScopeId
  readonly #running = new Set<RunningCall>()
  #number = 1
  isUp = true
  /** Whether it crashes on whatever it gets, as a bad version does. */
  isBroken = false

  constructor (options: SimulatedEngineOptions) {
    this.#options = options
    this.scope = scopeIdOf(brand('pool'), options.version, 'm')
  }

  get incarnation (): ScopedIncarnation {
    const id = `${this.#options.name}.${this.#number}`
    return { scope: this.scope, endpoint: brand<EndpointId>(id), incarnation: `${id} ${this.#number}` }
  }

  /** Starts a request; the function that is returned withdraws it. */
  serve (call: EngineCall): () => void {
    const { clock } = this.#options
    const running: RunningCall = { call, isBegun: false }
    this.#running.add(running)
    clock.after(millis(MIN_PREFILL + call.size * (MAX_PREFILL - MIN_PREFILL)), () => this.#begin(running))
    return () => this.#running.delete(running)
  }

  /** Ends the process: all calls are lost, and for a while nothing listens. */
  crash (part?: PartId): void {
    if (!this.isUp) return
    const { clock, crashes } = this.#options
    crashes.push({ at: clock.now(), part })
    this.isUp = false
    for (const running of [...this.#running]) running.call.onLost(running.isBegun)
    this.#running.clear()
    clock.after(DOWNTIME, () => {
      this.#number++
      this.isUp = true
    })
  }

  #begin (running: RunningCall): void {
    if (!this.#running.has(running)) return
    const { clock, isDeadly, crashesMidway } = this.#options
    const deadly = [...running.call.parts, running.call.whole].find(isDeadly)
    if (this.isBroken || (deadly !== undefined && !crashesMidway)) return this.crash(deadly)
    running.isBegun = true
    running.call.onBegun()
    if (deadly !== undefined) clock.after(millis(ANSWER_TIME / 2), () => this.#running.has(running) && this.crash(deadly))
    clock.after(ANSWER_TIME, () => {
      if (this.#running.delete(running)) running.call.onDone()
    })
  }
}

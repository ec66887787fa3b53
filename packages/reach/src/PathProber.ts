import { millis } from '@papayahill/common'
import type { Clock, Millis } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import { MAX_OPEN_PROBES, MAX_PROBE_TIME } from './constants.js'
import type { Path } from './PathTable.js'
import type { ProbeResult } from './types.js'

export interface PathProberOptions {
  readonly clock: Clock
  readonly probe: (endpoint: Endpoint) => Promise<ProbeResult>
  /** Receives the result of each probe that began at `startedAt`. */
  readonly onResult: (path: Path, result: ProbeResult, startedAt: Millis) => void
}

/**
 * Probes paths, a bounded number at a time and each of them once at a time.
 *
 * @example
 * prober.probe(path)
 */
export class PathProber {
  readonly #options: PathProberOptions
  readonly #waiting: Path[] = []
  #open = 0

  constructor (options: PathProberOptions) {
    this.#options = options
  }

  /** Probes the path, unless that is under way. */
  probe (path: Path): void {
    if (path.isProbing) return
    path.isProbing = true
    this.#waiting.push(path)
    this.#next()
  }

  #next (): void {
    while (this.#open < MAX_OPEN_PROBES && this.#waiting.length > 0) void this.#run(this.#waiting.shift()!)
  }

  async #run (path: Path): Promise<void> {
    this.#open++
    const [result, startedAt] = await this.#resultOf(path)
    this.#open--
    path.isProbing = false
    this.#options.onResult(path, result, startedAt)
    this.#next()
  }

  /** A probe that this process itself has held up is made once more. */
  async #resultOf (path: Path): Promise<readonly [ProbeResult, Millis]> {
    const { clock, probe } = this.#options
    const startedAt = this.#begin(path)
    const result = await probe(path.endpoint)
    const isHeldUp = result === 'unknown' && clock.now() - startedAt > MAX_PROBE_TIME
    if (!isHeldUp) return [result, startedAt]
    const againAt = this.#begin(path)
    return [await probe(path.endpoint), againAt]
  }

  #begin (path: Path): Millis {
    path.probedAt = this.#options.clock.now()
    return millis(path.probedAt)
  }
}

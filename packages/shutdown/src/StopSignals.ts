import type { EventLog } from '@papayahill/common'
import { SHUTDOWN_EVENTS } from './events.js'

/** Signals that begin a planned stop. */
const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const

export type StopSignal = typeof STOP_SIGNALS[number]

/** Where signals come from, such as `process`. */
export interface SignalSource {
  on (signal: StopSignal | 'SIGQUIT', listener: () => void): unknown
}

export interface StopSignalsOptions {
  readonly log: EventLog
  /** Number of requests that have no answer yet. */
  readonly running: () => number
  /** Finishes the running requests and ends the process; called once. */
  readonly drain: () => Promise<void>
  /** Ends the process at once. */
  readonly cut: () => void
}

/**
 * Handles signals: the first one to stop begins the planned stop, and further ones change nothing, since operators and
 * supervisors repeat them. Only SIGQUIT cuts running requests.
 *
 * @example
 * new StopSignals({ log, running, drain, cut }).listen(process)
 */
export class StopSignals {
  readonly #options: StopSignalsOptions
  #isDraining = false

  constructor (options: StopSignalsOptions) {
    this.#options = options
  }

  listen (source: SignalSource): void {
    for (const signal of STOP_SIGNALS) source.on(signal, () => this.#stop(signal))
    source.on('SIGQUIT', () => this.#quit())
  }

  #stop (signal: StopSignal): void {
    const { log, running, drain } = this.#options
    log.emit(this.#isDraining ? SHUTDOWN_EVENTS.stopPending : SHUTDOWN_EVENTS.stopAsked, { signal, running: running() })
    if (this.#isDraining) return
    this.#isDraining = true
    void drain()
  }

  #quit (): void {
    this.#options.log.emit(SHUTDOWN_EVENTS.cut, { running: this.#options.running() })
    this.#options.cut()
  }
}

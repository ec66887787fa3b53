import { millis } from '@papayahill/common'
import type { Clock, EndpointIncarnation, Millis, Random, Timer } from '@papayahill/common'
import type { ServiceKind } from '@papayahill/settings'
import { COLD_REPORT_PERIOD, PERIOD_JITTER, RECONNECT_DELAY } from './constants.js'
import type { EndpointEntry, ReportEffect } from './EndpointEntry.js'
import type { EndpointAccess, EndpointConnection, RosterIncarnation } from './types.js'

/** Maximum number of report polls of one endpoint in progress at once. */
const MAX_PARALLEL_POLLS = 4

/** What a watch observed. */
export type WatchEffect = ReportEffect | 'connected' | 'disconnected'

export interface EndpointWatchOptions {
  readonly entry: EndpointEntry
  readonly clock: Clock
  readonly random: Random
  readonly access: EndpointAccess
  readonly kind: () => ServiceKind | undefined
  /** Instances whose calls may continue through an endpoint's restart that keeps connections. */
  readonly instances: () => readonly RosterIncarnation[]
  readonly warmPeriod: () => Millis
  /** Called after every event that may have changed the entry. */
  readonly onChange: (effect: WatchEffect) => void
  /** Called when an incarnation whose connection was lost is known to have ended: nothing listens, or another one does. */
  readonly onEnded: (incarnation: EndpointIncarnation) => void
}

/**
 * Keeps one endpoint's connection open and polls its reports.
 *
 * @example
 * const watch = new EndpointWatch({ entry, clock, random, access, kind, instances, warmPeriod, onChange })
 * watch.start()
 */
export class EndpointWatch {
  readonly #options: EndpointWatchOptions
  #timer: Timer | undefined
  #polls = 0
  #isOpening = false
  #isStopped = true
  /** Incarnation of the connection that was lost last. */
  #lost: EndpointIncarnation | undefined

  constructor (options: EndpointWatchOptions) {
    this.#options = options
  }

  start (): void {
    this.#isStopped = false
    this.#step()
  }

  /** Stops polling and closes the connection. */
  stop (): void {
    this.#isStopped = true
    this.#timer?.cancel()
    this.#options.entry.connection?.close()
  }

  /** Requests a report at once. */
  pollNow (): void {
    if (!this.#isStopped && this.#options.entry.connection !== undefined) void this.#poll()
  }

  #step (): void {
    if (this.#isStopped) return
    const isOpen = this.#options.entry.connection !== undefined
    if (isOpen) void this.#poll()
    else void this.#open()
    this.#timer = this.#options.clock.after(this.#jittered(isOpen ? this.#period() : RECONNECT_DELAY), () => this.#step())
  }

  #period (): Millis {
    return this.#options.entry.state === 'warm' ? this.#options.warmPeriod() : COLD_REPORT_PERIOD
  }

  #jittered (period: Millis): Millis {
    return millis(period * (1 + PERIOD_JITTER * (this.#options.random.next() - 0.5)))
  }

  async #open (): Promise<void> {
    const { entry, access, clock, kind } = this.#options
    const service = kind()
    if (this.#isOpening || service === undefined) return
    this.#isOpening = true
    const opened = await access.open(entry.listed, service)
    this.#isOpening = false
    if (opened.isErr) {
      if (opened.error.isRefused === true) this.#noteEnd(undefined)
      return
    }
    const connection = opened.value
    this.#noteEnd(connection.incarnation)
    if (this.#isStopped || !connection.isOpen) return connection.close()
    connection.onClose(() => this.#closed(connection))
    entry.connected(connection, clock.now())
    this.#options.onChange('connected')
    this.pollNow()
  }

  /** Another incarnation than the lost one is there now, or none. */
  #noteEnd (now: EndpointIncarnation | undefined): void {
    const lost = this.#lost
    this.#lost = undefined
    if (lost !== undefined && lost !== now) this.#options.onEnded(lost)
  }

  #closed (connection: EndpointConnection): void {
    const { entry, onChange } = this.#options
    const isCurrent = entry.connection === undefined || entry.connection === connection
    if (!isCurrent) return
    if (!this.#isStopped && !entry.isLeaving) this.#lost = connection.incarnation
    entry.disconnected()
    onChange('disconnected')
    this.#timer?.cancel()
    this.#step()
  }

  async #poll (): Promise<void> {
    const { entry, access, clock, instances, onChange } = this.#options
    if (this.#polls >= MAX_PARALLEL_POLLS) return
    this.#polls++
    const askedAt = clock.now()
    const answer = await access.report(entry.listed)
    this.#polls--
    if (answer.isErr || this.#isStopped) return
    onChange(entry.receive(answer.value, askedAt, instances()))
  }
}

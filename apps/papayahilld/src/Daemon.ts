import type { Clock, EventLog } from '@papayahill/common'
import { createCallersApp, createOperatorsApp, listenOn, RequestIds } from '@papayahill/edge'
import type { EdgeListener } from '@papayahill/edge'
import type { InstanceSettings } from '@papayahill/settings'
import { buildParts } from './buildParts.js'
import type { Parts } from './buildParts.js'
import { LISTENER_LINGER } from './constants.js'
import { PAPAYAHILLD_EVENTS } from './events.js'

/** Limit of concurrent connections to the operators' listener. */
const OPERATOR_CONNECTIONS = 64

/**
 * Runs one entry instance in a process: starts and stops its components and listeners in order.
 *
 * @example
 * const daemon = new Daemon(settings, clock, log)
 * await daemon.start()
 * await daemon.drain()
 */
export class Daemon {
  readonly #cfg: InstanceSettings
  readonly #clock: Clock
  readonly #log: EventLog
  readonly #parts: Parts
  readonly #listeners: EdgeListener[] = []

  constructor (cfg: InstanceSettings, clock: Clock, log: EventLog) {
    this.#cfg = cfg
    this.#clock = clock
    this.#log = log
    this.#parts = buildParts(cfg, clock, log)
  }

  get running (): number {
    return this.#parts.instance.runner.running
  }

  /** Port of the callers' listener. */
  get callersPort (): number {
    return this.#listeners[0]?.port ?? 0
  }

  get operatorsPort (): number {
    return this.#listeners[1]?.port ?? 0
  }

  /**
   * Opens the listeners first, so that health checks and operators can observe an instance that is still starting.
   * Retries until the store or a peer is reachable: waiting is better than a restart loop.
   */
  async start (): Promise<void> {
    await Promise.all([this.#parts.peers.start(), this.#listen()])
    while ((await this.#parts.instance.start()).isErr) this.#resetAfterFailedStart()
    this.#log.emit(PAPAYAHILLD_EVENTS.started, { instance: this.#cfg.id })
  }

  /** Planned stop (graceful shutdown); resolves once every request has ended and all state is handed over. */
  async drain (): Promise<void> {
    const [callers] = this.#listeners
    const drained = this.#parts.instance.drain()
    await this.#clock.sleep(LISTENER_LINGER)
    await Promise.all([drained, callers?.close()])
    await this.stop()
  }

  /** Stops at once; open connections are closed. */
  async stop (): Promise<void> {
    for (const listener of this.#listeners) listener.terminate()
    await this.#parts.instance.stop()
    await this.#parts.close()
  }

  /** Stops what a failed start left running, so that the next attempt does not run it twice. */
  #resetAfterFailedStart (): void {
    const { config, roster } = this.#parts.instance
    config.stop()
    roster.stop()
    this.#log.emit(PAPAYAHILLD_EVENTS.waiting, { instance: this.#cfg.id })
  }

  async #listen (): Promise<void> {
    const { limits, secrets, callers, operators, id } = this.#cfg
    const ids = new RequestIds(id, this.#parts.random)
    const common = { instance: this.#parts.instance, clock: this.#clock, log: this.#log, secrets, ids }
    const { headerBytes } = limits
    const shared = { headerBytes, ids, log: this.#log }
    this.#listeners.push(...await Promise.all([
      listenOn({
        ...shared, listener: 'callers', app: createCallersApp({ ...common, limits }), address: callers, connections: limits.connections
      }),
      listenOn({
        ...shared, listener: 'operators', app: createOperatorsApp(common), address: operators, connections: OPERATOR_CONNECTIONS
      })
    ]))
  }
}

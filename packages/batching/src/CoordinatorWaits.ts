import { millis } from '@papayahill/common'
import type { Clock, EndpointId, InstanceId, LoopDelay, Millis } from '@papayahill/common'
import { ACCEPT_WAIT_TTL } from './constants.js'
import type { CoordinatorRoster } from './CoordinatorRoster.js'
import type { GroupLookup } from './endpointGroups.js'

/** An order that its coordinator has not answered yet. */
export interface OfferedOrder {
  readonly to: InstanceId
  readonly offeredAt: Millis
}

interface AcceptWait {
  readonly wait: Millis
  readonly at: Millis
}

/**
 * How long orders wait until their coordinators have read and accepted them. One that is late answers late, too, so that the orders
 * which it has not answered yet count for as long as they have waited.
 *
 * @example
 * const offered = waits.begin(coordinator)
 * waits.accepted(offered)
 * waits.end(offered)
 * waits.of(coordinator) // the wait that an order given now can expect
 */
export class CoordinatorWaits {
  readonly #clock: Clock
  /** The one that was recorded least recently is first. */
  readonly #accepted = new Map<InstanceId, AcceptWait>()
  /** The oldest order of each coordinator is first. */
  readonly #offered = new Map<InstanceId, Set<OfferedOrder>>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Longest wait that an order given now can expect, over all coordinators in use. */
  get longest (): Millis {
    const inUse = new Set([...this.#accepted.keys(), ...this.#offered.keys()])
    return millis(Math.max(0, ...[...inUse].map((id) => this.of(id))))
  }

  /** An order is sent to its coordinator. */
  begin (to: InstanceId): OfferedOrder {
    const offered: OfferedOrder = { to, offeredAt: this.#clock.now() }
    const open = this.#offered.get(to) ?? new Set()
    this.#offered.set(to, open.add(offered))
    return offered
  }

  /** The coordinator has accepted the order; returns the time that this took. */
  accepted ({ to, offeredAt }: OfferedOrder): Millis {
    const now = this.#clock.now()
    const wait = millis(now - offeredAt)
    this.#accepted.delete(to)
    this.#accepted.set(to, { wait, at: now })
    for (const [id, { at }] of this.#accepted) {
      if (now - at <= ACCEPT_WAIT_TTL) break
      this.#accepted.delete(id)
    }
    return wait
  }

  /** The order has been accepted or given up. */
  end (offered: OfferedOrder): void {
    const open = this.#offered.get(offered.to)
    open?.delete(offered)
    if (open?.size === 0) this.#offered.delete(offered.to)
  }

  /** Time until an order given now is accepted, as far as is known. */
  of (id: InstanceId): Millis {
    const now = this.#clock.now()
    const last = this.#accepted.get(id)
    const lastWait = last === undefined || now - last.at > ACCEPT_WAIT_TTL ? 0 : last.wait
    const [oldest] = this.#offered.get(id) ?? []
    return millis(Math.max(lastWait, oldest === undefined ? 0 : now - oldest.offeredAt))
  }
}

/** What tells how late the coordinators of endpoints are. */
export interface OrderWaitLookup {
  readonly self: InstanceId
  readonly groups: GroupLookup
  readonly roster: Pick<CoordinatorRoster, 'coordinatorOf'>
  readonly waits: Pick<CoordinatorWaits, 'of'>
  readonly loopDelay: Pick<LoopDelay, 'current'>
}

/**
 * The wait until an order for an endpoint is accepted: by its coordinator, or by this instance's own event loop.
 *
 * @example
 * new BacklogTracker(clock, (endpoint) => orderWaitOf({ self, groups, roster, waits, loopDelay }, endpoint))
 */
export const orderWaitOf = ({ self, groups, roster, waits, loopDelay }: OrderWaitLookup, endpoint: EndpointId): Millis => {
  const group = groups.groupOf(endpoint)
  if (group === undefined) return millis(0)
  const coordinator = roster.coordinatorOf(group)
  return coordinator === self ? loopDelay.current : waits.of(coordinator)
}

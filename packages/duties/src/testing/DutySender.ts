import { millis } from '@papayahill/common'
import type { Clock, InstanceId, Millis, Random, Timer } from '@papayahill/common'
import type { DutyLease } from '../DutyLease.js'
import { ElapsedTime } from '../ElapsedTime.js'
import type { FencingToken } from '../types.js'
import type { DutyPlatform } from './DutyPlatform.js'
import type { SimulatedMachine } from './SimulatedMachine.js'

/** Interval between two calls of a holder, and the longest time that one may take to be sent. */
const CALL_PERIOD = millis(100)
const CALL_SPAN = millis(500)
/** A call waits this long for a connection at most; one in ten for much longer. */
const SHORT_WAIT = 100
const LONG_WAIT = 6000
const LONG_WAIT_SHARE = 0.1
/** Longest time from the last byte sent until the platform has it. */
const MAX_TRANSIT = 100

export interface DutySenderOptions {
  readonly number: number
  readonly id: InstanceId
  readonly machine: SimulatedMachine
  readonly clock: Clock
  readonly random: Random
  readonly lease: DutyLease
  readonly platform: DutyPlatform
  /** Whether the permit is asked for right before the first byte; the baseline relies on what was known when the call was begun. */
  readonly checksBeforeSend: boolean
}

/** Calls the platform while its instance holds the lease. Calls wait for connections, and some take too long to send. */
export class DutySender {
  readonly #options: DutySenderOptions
  readonly #time: ElapsedTime
  #timer: Timer | undefined

  constructor (options: DutySenderOptions) {
    this.#options = options
    this.#time = new ElapsedTime(options.machine, options.machine)
  }

  start (): void {
    const { lease, machine } = this.#options
    lease.onChange(({ isHeld }) => {
      if (!isHeld) this.#timer?.cancel()
      this.#timer = isHeld ? this.#timer ?? machine.every(CALL_PERIOD, () => { void this.#call() }) : undefined
    })
  }

  async #call (): Promise<void> {
    const { lease, machine, random, checksBeforeSend } = this.#options
    const known = lease.permit(millis(0))
    if (known === undefined) return
    const isLong = random.next() < LONG_WAIT_SHARE
    await machine.sleep(millis(random.next() * (isLong ? LONG_WAIT : SHORT_WAIT)))
    const token = checksBeforeSend ? lease.permit(CALL_SPAN) : known
    if (token !== undefined) await this.#send(token, millis(random.next() * CALL_SPAN * 1.2))
  }

  /** Sends for `took`; a call that does not end within its span is reset, so that nothing of it arrives. */
  async #send (token: FencingToken, took: Millis): Promise<void> {
    const { machine, clock, random, platform, number, id } = this.#options
    const begun = this.#time.mark()
    await machine.sleep(took)
    if (this.#time.since(begun) > CALL_SPAN) return
    clock.after(millis(random.next() * MAX_TRANSIT), () => platform.receive({ machine: number, holder: id, token }))
  }
}

import type { Clock, InstanceId, Json, Millis } from '@papayahill/common'
import { Result } from 'true-myth'
import type { PeerError } from './types.js'

interface PendingAsk {
  readonly to: InstanceId
  readonly settle: (answer: Result<Json, PeerError>) => void
}

/** Requests to peers that have not been answered yet. */
export class PendingAsks {
  readonly #clock: Clock
  readonly #pending = new Map<number, PendingAsk>()
  #lastAsk = 0

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Assigns a number to a request, calls `send` with it and waits for the answer; `send` returns 0 if it dropped the request. */
  ask (to: InstanceId, timeout: Millis, send: (ask: number) => number): Promise<Result<Json, PeerError>> {
    const ask = ++this.#lastAsk
    return new Promise((resolve) => {
      const settle = (answer: Result<Json, PeerError>): void => {
        timer.cancel()
        this.#pending.delete(ask)
        resolve(answer)
      }
      const timer = this.#clock.after(timeout, () => {
        settle(Result.err({ kind: 'timeout', detail: `${to} did not answer in ${timeout} ms` }))
      })
      this.#pending.set(ask, { to, settle })
      if (send(ask) === 0) settle(Result.err({ kind: 'unreachable', detail: `the message to ${to} could not be sent` }))
    })
  }

  /** Ignores an answer that is late or comes from a peer that was not asked. */
  receiveAnswer (from: InstanceId, ask: number, body: Json): void {
    const pending = this.#pending.get(ask)
    if (pending?.to === from) pending.settle(Result.ok(body))
  }

  /** Fails all requests to a peer whose link has closed. */
  failFor (to: InstanceId): void {
    for (const pending of [...this.#pending.values()]) {
      if (pending.to === to) pending.settle(Result.err({ kind: 'unreachable', detail: `the link to ${to} was closed` }))
    }
  }
}

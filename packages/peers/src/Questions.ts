import type { Clock, InstanceId, Json, Millis } from '@papayahill/common'
import { Result } from 'true-myth'
import type { PeerError } from './types.js'

interface Open {
  readonly to: InstanceId
  readonly end: (answer: Result<Json, PeerError>) => void
}

/** Questions to peers that wait for their answers. */
export class Questions {
  readonly #clock: Clock
  readonly #open = new Map<number, Open>()
  #count = 0

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Numbers a question and waits for its answer; `send` is called with the number. */
  ask (to: InstanceId, timeout: Millis, send: (ask: number) => void): Promise<Result<Json, PeerError>> {
    const ask = ++this.#count
    return new Promise((resolve) => {
      const end = (answer: Result<Json, PeerError>): void => {
        timer.cancel()
        this.#open.delete(ask)
        resolve(answer)
      }
      const timer = this.#clock.after(timeout, () => {
        end(Result.err({ kind: 'timeout', detail: `${to} did not answer in ${timeout} ms` }))
      })
      this.#open.set(ask, { to, end })
      send(ask)
    })
  }

  /** An answer counts only from the peer that was asked; a late one is dropped. */
  answer (from: InstanceId, ask: number, body: Json): void {
    const open = this.#open.get(ask)
    if (open?.to === from) open.end(Result.ok(body))
  }

  /** The link to a peer is gone: no answer will come. */
  drop (to: InstanceId): void {
    for (const open of [...this.#open.values()]) {
      if (open.to === to) open.end(Result.err({ kind: 'unreachable', detail: `the link to ${to} was closed` }))
    }
  }
}

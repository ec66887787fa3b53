import type { Failure } from '@papayahill/common'
import type { HeaderList } from '@papayahill/connections'
import { INSTANCE_STOPPED } from '@papayahill/forwarding'
import type { CallerSink } from '@papayahill/forwarding'
import { MAX_QUEUED_BYTES } from './constants.js'
import type { PartSender } from './PartSender.js'
import { partsOf } from './partsOf.js'

/** Sends an answer back to the instance that handed its request over. */
export class PeerSink implements CallerSink {
  readonly #sender: PartSender
  readonly #controller: AbortController
  readonly #isOpenElsewhere: (failure: Failure) => boolean
  #isEnded = false

  /** `isOpenElsewhere` tells whether another instance may serve what this one refuses. */
  constructor (sender: PartSender, controller: AbortController, isOpenElsewhere: (failure: Failure) => boolean) {
    this.#sender = sender
    this.#controller = controller
    this.#isOpenElsewhere = isOpenElsewhere
  }

  answer (status: number, headers: HeaderList, body: Buffer): void {
    if (this.#isEnded) return
    this.#isEnded = true
    this.#sender.push({ kind: 'head', status, headers, isStream: false })
    for (const bytes of partsOf(body)) this.#sender.push({ kind: 'data', bytes })
    this.#sender.push({ kind: 'end' })
  }

  start (status: number, headers: HeaderList): void {
    if (!this.#isEnded) this.#sender.push({ kind: 'head', status, headers, isStream: true })
  }

  write (chunk: Buffer): void {
    if (this.#isEnded) return
    for (const bytes of partsOf(chunk)) this.#sender.push({ kind: 'data', bytes })
    if (this.#sender.queuedBytes <= MAX_QUEUED_BYTES) return
    this.cut()
    this.#controller.abort()
  }

  end (): void {
    if (this.#isEnded) return
    this.#isEnded = true
    this.#sender.push({ kind: 'end' })
  }

  cut (): void {
    if (this.#isEnded) return
    this.#isEnded = true
    this.#sender.push({ kind: 'cut' })
  }

  abandon (): void {
    this.#controller.abort(INSTANCE_STOPPED)
  }

  fail (failure: Failure): void {
    if (this.#isEnded) return
    this.#isEnded = true
    if (failure.run === 'not-run' && this.#isOpenElsewhere(failure)) {
      this.#sender.push({ kind: 'not-taken', detail: failure.detail, retryAfter: failure.retryAfter })
    } else {
      this.#sender.push({ kind: 'fail', failure })
    }
  }
}

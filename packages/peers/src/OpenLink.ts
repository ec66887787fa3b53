import { millis } from '@papayahill/common'
import type { Clock, Millis } from '@papayahill/common'
import { IDLE_LINK_TIMEOUT } from './constants.js'
import { topicOf } from './frames.js'
import type { Frame } from './frames.js'
import type { ReadWatch } from './ReadWatch.js'
import type { TrafficMeter } from './TrafficMeter.js'
import type { Link, PeerIdentity } from './transport.js'

export interface OpenLinkOptions {
  readonly clock: Clock
  readonly meter: TrafficMeter
  readonly link: Link
  readonly reads: Pick<ReadWatch, 'readUntil'>
  /** Opened for messages only: it carries no gossip and is closed when idle. */
  readonly isTemporary: boolean
}

/** An open link that meters its traffic and measures how long the peer has been silent. */
export class OpenLink {
  readonly peer: PeerIdentity
  readonly isDialled: boolean
  isTemporary: boolean
  readonly #options: OpenLinkOptions
  readonly #openedAt: Millis
  #receivedAt: Millis
  /** Time of the last frame of kind `message`, in either direction. */
  #messageAt: Millis | undefined

  constructor (options: OpenLinkOptions) {
    this.#options = options
    this.peer = options.link.peer
    this.isDialled = options.link.isDialled
    this.isTemporary = options.isTemporary
    this.#openedAt = options.clock.now()
    this.#receivedAt = this.#openedAt
  }

  get age (): Millis {
    return millis(this.#options.clock.now() - this.#openedAt)
  }

  /** Time for which nothing has come, as far as this process has read. */
  get silence (): Millis {
    return millis(Math.max(0, this.#options.reads.readUntil - this.#receivedAt))
  }

  /** Time since the last message, in either direction, or since the link was opened. */
  get idle (): Millis {
    return millis(this.#options.clock.now() - (this.#messageAt ?? this.#openedAt))
  }

  /** Whether it has carried messages recently. */
  get isUsed (): boolean {
    return this.#messageAt !== undefined && this.idle <= IDLE_LINK_TIMEOUT
  }

  send (frame: Frame): number {
    const size = this.#options.link.send(frame)
    if (size > 0) this.#options.meter.sent(topicOf(frame), size)
    if (frame.kind === 'message') this.#messageAt = this.#options.clock.now()
    return size
  }

  onFrame (listener: (frame: Frame) => void): void {
    this.#options.link.onFrame((frame, size) => {
      this.#receivedAt = this.#options.clock.now()
      if (frame.kind === 'message') this.#messageAt = this.#receivedAt
      this.#options.meter.received(topicOf(frame), size)
      listener(frame)
    })
  }

  onClose (listener: () => void): void {
    this.#options.link.onClose(listener)
  }

  close (): void {
    this.#options.link.close()
  }

  terminate (): void {
    this.#options.link.terminate()
  }
}

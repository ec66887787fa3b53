import { millis } from '@papayahill/common'
import type { Clock, InstanceId, Millis } from '@papayahill/common'
import { decodeFrame, encodeFrame } from './frameCodec.js'
import type { Frame } from './frames.js'
import type { Link, PeerAddress, PeerIdentity, Transport } from './transport.js'

/** Bytes that a WebSocket frame header adds to a payload. */
const FRAME_OVERHEAD = 6

interface Listener {
  readonly identity: PeerIdentity
  readonly onLink: (link: Link) => void
}

const addressKey = (address: PeerAddress): string => `${address.ip}:${address.port}`

/** In-memory links with delay and partitions, for tests and benches in virtual time. Frames are encoded as on the wire. */
export class MemoryNetwork {
  delay = millis(1)
  readonly clock: Clock
  readonly #listeners = new Map<string, Listener>()
  readonly #links = new Set<MemoryLink>()
  readonly #partitions = new Set<string>()
  readonly #killed = new Set<string>()
  readonly #readDelays = new Map<InstanceId, Millis>()
  /** Processor time that each frame takes its receiver, and until when its processor is busy. */
  readonly #frameCosts = new Map<InstanceId, Millis>()
  readonly #busyUntil = new Map<InstanceId, Millis>()

  constructor (clock: Clock) {
    this.clock = clock
  }

  transport (identity: PeerIdentity): Transport {
    const key = addressKey(identity.address)
    return {
      listen: (onLink) => {
        this.#listeners.set(key, { identity, onLink })
        return Promise.resolve(identity.address)
      },
      dial: (address) => this.#dial(identity, address),
      close: () => {
        this.#listeners.delete(key)
        for (const link of this.#linksOf(identity)) link.close()
        return Promise.resolve()
      }
    }
  }

  /** Simulates the death of a process: its links close. */
  kill (identity: PeerIdentity): void {
    this.#killed.add(identity.incarnation)
    this.#listeners.delete(addressKey(identity.address))
    for (const link of this.#linksOf(identity)) link.close()
  }

  /** Drops all frames between two instances silently: their links stay open. */
  partition (left: PeerIdentity, right: PeerIdentity): void {
    this.#partitions.add(`${left.id} ${right.id}`).add(`${right.id} ${left.id}`)
  }

  heal (left: PeerIdentity, right: PeerIdentity): void {
    this.#partitions.delete(`${left.id} ${right.id}`)
    this.#partitions.delete(`${right.id} ${left.id}`)
  }

  /** An instance's event loop is late: it reads each frame that much later. */
  slowDown ({ id }: PeerIdentity, readDelay: Millis): void {
    this.#readDelays.set(id, readDelay)
  }

  /** Each frame takes an instance processor time: it reads them one after the other, later the more there are. */
  limitProcessor ({ id }: PeerIdentity, frameCost: Millis): void {
    this.#frameCosts.set(id, frameCost)
  }

  /** Time from sending a frame until its receiver has read it. */
  timeToRead ({ id }: PeerIdentity): Millis {
    const now = this.clock.now()
    const arrivesAt = now + this.delay + (this.#readDelays.get(id) ?? 0)
    const frameCost = this.#frameCosts.get(id) ?? 0
    if (frameCost === 0) return millis(arrivesAt - now)
    const readAt = millis(Math.max(arrivesAt, this.#busyUntil.get(id) ?? 0) + frameCost)
    this.#busyUntil.set(id, readAt)
    return millis(readAt - now)
  }

  /** Time that a frame which an instance reads now has waited for it, about. */
  readDelayOf ({ id }: PeerIdentity): Millis {
    const backlog = Math.max(0, (this.#busyUntil.get(id) ?? 0) - this.clock.now())
    return millis((this.#readDelays.get(id) ?? 0) + backlog)
  }

  isPartitioned (left: PeerIdentity, right: PeerIdentity): boolean {
    return this.#partitions.has(`${left.id} ${right.id}`)
  }

  removeLink (link: MemoryLink): void {
    this.#links.delete(link)
  }

  async #dial (self: PeerIdentity, address: PeerAddress): Promise<Link | undefined> {
    await this.clock.sleep(millis(this.delay * 2))
    const listener = this.#listeners.get(addressKey(address))
    if (listener === undefined || this.#killed.has(self.incarnation) || this.isPartitioned(self, listener.identity)) return undefined
    const near = new MemoryLink(this, self, listener.identity, true)
    const far = new MemoryLink(this, listener.identity, self, false)
    near.connectTo(far)
    far.connectTo(near)
    this.#links.add(near).add(far)
    listener.onLink(far)
    return near
  }

  #linksOf (identity: PeerIdentity): readonly MemoryLink[] {
    return [...this.#links].filter((link) => link.owner.incarnation === identity.incarnation)
  }
}

class MemoryLink implements Link {
  readonly peer: PeerIdentity
  readonly owner: PeerIdentity
  readonly isDialled: boolean
  readonly #network: MemoryNetwork
  readonly #closeListeners: Array<() => void> = []
  #frameListener: ((frame: Frame, size: number) => void) | undefined
  #remote: MemoryLink | undefined
  #isOpen = true

  constructor (network: MemoryNetwork, owner: PeerIdentity, peer: PeerIdentity, isDialled: boolean) {
    this.#network = network
    this.owner = owner
    this.peer = peer
    this.isDialled = isDialled
  }

  connectTo (other: MemoryLink): void {
    this.#remote = other
  }

  send (frame: Frame): number {
    if (!this.#isOpen) return 0
    const data = encodeFrame(frame)
    const size = data.length + FRAME_OVERHEAD
    if (!this.#network.isPartitioned(this.owner, this.peer)) {
      this.#network.clock.after(this.#network.timeToRead(this.peer), () => this.#remote?.receive(decodeFrame(data)!, size))
    }
    return size
  }

  receive (frame: Frame, size: number): void {
    if (this.#isOpen) this.#frameListener?.(frame, size)
  }

  onFrame (listener: (frame: Frame, size: number) => void): void {
    this.#frameListener = listener
  }

  onClose (listener: () => void): void {
    this.#closeListeners.push(listener)
  }

  terminate (): void {
    this.close()
  }

  close (): void {
    if (!this.#isOpen) return
    this.#isOpen = false
    this.#network.removeLink(this)
    for (const listener of this.#closeListeners) listener()
    this.#network.clock.after(this.#network.timeToRead(this.peer), () => this.#remote?.close())
  }
}

import type { Server, Socket } from 'node:net'
import type { Clock } from './Clock.js'
import { millis } from './units.js'
import type { Millis } from './units.js'

/** Shortest time between two looks at what connections have received. */
const SAMPLE_PERIOD = millis(250)
/** Share of the connections that is closed at once when there are too many, so that not each new one needs a search. */
const CLOSED_SHARE = 1 / 32
/** Silence of a connection that has carried a whole request counts this much: it belongs to a client that may come again. */
const SERVED_SILENCE_WEIGHT = 0.25

export interface ConnectionGuardOptions {
  readonly clock: Clock
  /** Maximum number of connections. */
  readonly max: number
  /** Maximum number of connections from one address. */
  readonly maxPerSource: number
  /** Whether a connection carries a request that is being served, so that it must not be closed. */
  readonly isBusy: (socket: Socket) => boolean
  /** Called when connections were closed. */
  readonly onClosed: (count: number, source: string | undefined) => void
}

interface Held {
  readonly source: string
  bytesRead: number
  /** When it was opened, or was last seen to have received bytes. */
  receivedAt: Millis
  hasServed: boolean
}

/**
 * Bounds a server's connections, in all and from each address. A new one above the bound takes the place of those that have been
 * silent for longest; if all are being served, it is closed itself.
 *
 * @example
 * new ConnectionGuard({ clock, max: 2000, maxPerSource: 1000, isBusy, onClosed }).watch(server)
 */
export class ConnectionGuard {
  readonly #options: ConnectionGuardOptions
  readonly #held = new Map<Socket, Held>()
  readonly #counts = new Map<string, number>()
  #sampledAt: Millis = millis(0)

  constructor (options: ConnectionGuardOptions) {
    this.#options = options
  }

  get size (): number {
    return this.#held.size
  }

  watch (server: Server): void {
    server.on('connection', (socket: Socket) => this.#add(socket))
  }

  /** Records that a request was answered on a connection. */
  noteServed (socket: Socket): void {
    const held = this.#held.get(socket)
    if (held !== undefined) held.hasServed = true
  }

  #add (socket: Socket): void {
    const { clock, max, maxPerSource } = this.#options
    const now = clock.now()
    const source = socket.remoteAddress ?? ''
    this.#sample(now)
    const ofSource = this.#counts.get(source) ?? 0
    if (ofSource >= maxPerSource && !this.#makeRoom(maxPerSource, now, source)) return this.#refuse(socket, source)
    if (this.#held.size >= max && !this.#makeRoom(max, now)) return this.#refuse(socket, undefined)
    this.#held.set(socket, { source, bytesRead: 0, receivedAt: now, hasServed: false })
    this.#counts.set(source, (this.#counts.get(source) ?? 0) + 1)
    socket.once('close', () => this.#drop(socket))
  }

  #refuse (socket: Socket, source: string | undefined): void {
    socket.destroy()
    this.#options.onClosed(1, source)
  }

  #drop (socket: Socket): void {
    const held = this.#held.get(socket)
    if (held === undefined) return
    this.#held.delete(socket)
    const left = (this.#counts.get(held.source) ?? 1) - 1
    if (left > 0) this.#counts.set(held.source, left)
    else this.#counts.delete(held.source)
  }

  #sample (now: Millis): void {
    if (now - this.#sampledAt < SAMPLE_PERIOD) return
    this.#sampledAt = now
    for (const [socket, held] of this.#held) {
      if (socket.bytesRead === held.bytesRead) continue
      held.bytesRead = socket.bytesRead
      held.receivedAt = now
    }
  }

  /** Closes the connections that have been silent for longest; false if there is none that may be closed. */
  #makeRoom (limit: number, now: Millis, source?: string): boolean {
    const silence = ({ receivedAt, hasServed }: Held): number => (now - receivedAt) * (hasServed ? SERVED_SILENCE_WEIGHT : 1)
    const closed = [...this.#held]
      .filter(([socket, held]) => (source === undefined || held.source === source) && !this.#options.isBusy(socket))
      .sort(([, left], [, right]) => silence(right) - silence(left))
      .slice(0, Math.max(1, Math.floor(limit * CLOSED_SHARE)))
    for (const [socket] of closed) {
      this.#drop(socket)
      socket.destroy()
    }
    if (closed.length > 0) this.#options.onClosed(closed.length, source)
    return closed.length > 0
  }
}

import type { Clock, Millis } from '@papayahill/common'
import type { HeaderList } from '@papayahill/connections'
import type { EventScanner } from './EventScanner.js'
import type { CallerSink } from './types.js'

interface StreamHead {
  readonly status: number
  readonly headers: HeaderList
}

/**
 * Relays one stream to its caller, possibly from several endpoints in turn: each event once and in order.
 *
 * @example
 * relay.start(200, headers)
 * relay.forward(scanner, chunk)
 */
export class StreamRelay {
  readonly #clock: Clock
  readonly #sink: CallerSink
  #isStarted = false
  #head: StreamHead | undefined
  #lastId: string | undefined
  #events = 0
  /** Monotonic time of the first event. */
  firstEventAt: Millis | undefined

  constructor (clock: Clock, sink: CallerSink, resumeAfter: string | undefined) {
    this.#clock = clock
    this.#sink = sink
    this.#lastId = resumeAfter
  }

  get isStarted (): boolean {
    return this.#isStarted
  }

  /** Number of events sent to the caller. */
  get events (): number {
    return this.#events
  }

  /** Id of the event after which another endpoint would resume. */
  get resumeAfter (): string | undefined {
    return this.#lastId
  }

  /**
   * Sets the headers of the stream. They are sent with its first event, so that a stream that breaks earlier can still
   * start at another endpoint; headers of endpoints that resume the stream are dropped.
   */
  start (status: number, headers: HeaderList): void {
    if (!this.#isStarted) this.#head = { status, headers }
  }

  /** The stream is complete. */
  end (): void {
    this.#sendHead()
    this.#sink.end()
  }

  /**
   * Relays the events that the chunk completes; returns their number, with those that the caller already has. `onFirstEvent` is
   * called if the first event of all is among them.
   */
  forward (scanner: EventScanner, chunk: Buffer, onFirstEvent = (): void => {}): number {
    let count = 0
    const pieces = scanner.feed(chunk, (id) => {
      count++
      return this.#accepts(id, onFirstEvent)
    })
    for (const piece of pieces) this.#sink.write(piece)
    return count
  }

  /** Whether the caller does not have the event yet; it is counted then. */
  #accepts (id: string | undefined, onFirstEvent: () => void): boolean {
    if (this.#isDuplicate(id)) return false
    this.#sendHead()
    if (this.firstEventAt === undefined) onFirstEvent()
    this.firstEventAt ??= this.#clock.now()
    this.#events++
    this.#lastId = id ?? this.#lastId
    return true
  }

  #sendHead (): void {
    if (this.#isStarted || this.#head === undefined) return
    this.#isStarted = true
    this.#sink.start(this.#head.status, this.#head.headers)
  }

  #isDuplicate (id: string | undefined): boolean {
    if (id === undefined || this.#lastId === undefined) return false
    const number = Number(id)
    const last = Number(this.#lastId)
    return Number.isFinite(number) && Number.isFinite(last) && number <= last
  }
}

import type { Clock, Millis } from '@papayahill/common'
import type { HeaderList } from '@papayahill/connections'
import type { StreamEvent } from './EventScanner.js'
import type { CallerSink } from './types.js'

interface StreamHead {
  readonly status: number
  readonly headers: HeaderList
}

/**
 * One stream towards its caller, from one endpoint after the other: each event once and in order.
 *
 * @example
 * relay.start(200, headers)
 * relay.event(event)
 */
export class StreamRelay {
  readonly #clock: Clock
  readonly #sink: CallerSink
  #isStarted = false
  #head: StreamHead | undefined
  #lastId: string | undefined
  #events = 0
  /** Monotonic time of the first event. */
  firstAt: Millis | undefined
  /** Called with the first event. */
  onFirst: () => void = () => {}

  constructor (clock: Clock, sink: CallerSink, resumeAfter: string | undefined) {
    this.#clock = clock
    this.#sink = sink
    this.#lastId = resumeAfter
  }

  get isStarted (): boolean {
    return this.#isStarted
  }

  /** Number of events that were handed on. */
  get events (): number {
    return this.#events
  }

  /** Where another endpoint would go on. */
  get resumeAfter (): string | undefined {
    return this.#lastId
  }

  /**
   * The headers of the endpoint that begins the stream. They go out with its first event, so that a stream that
   * broke before may still begin elsewhere; later endpoints go on under them.
   */
  start (status: number, headers: HeaderList): void {
    if (!this.#isStarted) this.#head = { status, headers }
  }

  /** The stream is whole. */
  end (): void {
    this.#sendHead()
    this.#sink.end()
  }

  event ({ bytes, id }: StreamEvent): void {
    if (this.#isRepeated(id)) return
    this.#sendHead()
    if (this.firstAt === undefined) this.onFirst()
    this.firstAt ??= this.#clock.now()
    this.#events++
    this.#lastId = id ?? this.#lastId
    this.#sink.write(bytes)
  }

  #sendHead (): void {
    if (this.#isStarted || this.#head === undefined) return
    this.#isStarted = true
    this.#sink.start(this.#head.status, this.#head.headers)
  }

  #isRepeated (id: string | undefined): boolean {
    if (id === undefined || this.#lastId === undefined) return false
    const number = Number(id)
    const last = Number(this.#lastId)
    return Number.isFinite(number) && Number.isFinite(last) && number <= last
  }
}

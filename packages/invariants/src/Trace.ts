import type { TraceEvent, TraceEventOf } from './types.js'

/**
 * Collects the events that the stand-ins of callers, endpoints and the platform observe.
 *
 * @example
 * const trace = new Trace()
 * trace.add({ type: 'endpoint-leaving', at: clock.now(), endpoint })
 */
export class Trace {
  readonly #events: TraceEvent[] = []

  get events (): readonly TraceEvent[] {
    return this.#events
  }

  add (event: TraceEvent): void {
    this.#events.push(event)
  }

  ofType<Type extends TraceEvent['type']> (type: Type): Array<TraceEventOf<Type>> {
    return this.#events.filter((event): event is TraceEventOf<Type> => event.type === type)
  }
}

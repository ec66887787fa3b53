import type { EpochMillis } from './units.js'

export type EventLevel = 'debug' | 'info' | 'warn' | 'error'

/** A numbered kind of event, as declared by a package. */
export interface EventKind {
  /** Four digits, unique in the whole system; the first two identify the package. */
  readonly number: number
  readonly level: EventLevel
  readonly name: string
  /** One sentence for operators: what happened and what it means. */
  readonly text: string
}

/** Fields of an event; never secrets or request bodies. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>

export interface EventRecord {
  readonly at: EpochMillis
  readonly kind: EventKind
  readonly fields: EventFields
}

/** Destination of events: winston in the binaries, a recorder in tests. */
export interface EventLog {
  emit (kind: EventKind, fields?: EventFields): void
}

/** Discards all events. */
export const SILENT_LOG: EventLog = { emit: () => {} }

/**
 * Declares the events of a package; their names are the keys.
 *
 * @example
 * export const EVENTS = defineEvents({
 *   instanceJoined: { number: 2101, level: 'info', text: 'An instance joined the roster.' }
 * })
 */
export const defineEvents = <Name extends string>(
  kinds: Readonly<Record<Name, Omit<EventKind, 'name'>>>
): Readonly<Record<Name, EventKind>> => {
  const named = Object.entries<Omit<EventKind, 'name'>>(kinds).map(([name, kind]) => [name, { ...kind, name }])
  return Object.fromEntries(named) as Record<Name, EventKind>
}

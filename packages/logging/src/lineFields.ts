import type { EventFields, EventKind, EventLevel } from '@papayahill/common'

/** Levels in winston's order, most severe first. */
export const LEVELS: Readonly<Record<EventLevel, number>> = { error: 0, warn: 1, info: 2, debug: 3 }

/** Numbers are rounded to hundredths, which is as precise as operators need. */
const HUNDRED = 100

const shorten = (value: EventFields[string]): EventFields[string] =>
  typeof value === 'number' ? Math.round(value * HUNDRED) / HUNDRED : value

/**
 * Fields of an event's log line, besides its text.
 *
 * @example
 * lineFields(EVENTS.seen, { age: 530.3719 }) // { event: 7199, name: 'seen', age: 530.37 }
 */
export const lineFields = (kind: EventKind, fields: EventFields): EventFields => ({
  event: kind.number,
  name: kind.name,
  ...Object.fromEntries(Object.entries(fields).map(([name, value]) => [name, shorten(value)]))
})

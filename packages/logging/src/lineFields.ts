import type { EventFields, EventKind, EventLevel } from '@papayahill/common'

/** Levels as winston orders them, the gravest first. */
export const LEVELS: Readonly<Record<EventLevel, number>> = { error: 0, warn: 1, info: 2, debug: 3 }

/** Hundredths are as fine as an operator can use a measured value. */
const HUNDRED = 100

const shorten = (value: EventFields[string]): EventFields[string] =>
  typeof value === 'number' ? Math.round(value * HUNDRED) / HUNDRED : value

/**
 * What a line says of an event beside its text.
 *
 * @example
 * lineFields(EVENTS.seen, { age: 530.3719 }) // { event: 7199, name: 'seen', age: 530.37 }
 */
export const lineFields = (kind: EventKind, fields: EventFields): EventFields => ({
  event: kind.number,
  name: kind.name,
  ...Object.fromEntries(Object.entries(fields).map(([name, value]) => [name, shorten(value)]))
})

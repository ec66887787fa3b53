import type { EventFields, EventKind, EventLevel, EventLog } from '@papayahill/common'
import winston from 'winston'

const LEVELS: Readonly<Record<EventLevel, number>> = { error: 0, warn: 1, info: 2, debug: 3 }

const { combine, json, timestamp } = winston.format

/** Hundredths are as fine as an operator can use a measured value. */
const HUNDRED = 100

const shorten = (value: EventFields[string]): EventFields[string] =>
  typeof value === 'number' ? Math.round(value * HUNDRED) / HUNDRED : value

const shortenAll = (fields: EventFields): EventFields =>
  Object.fromEntries(Object.entries(fields).map(([name, value]) => [name, shorten(value)]))

/**
 * Events as JSON lines on standard output, each with its number.
 *
 * @example
 * const log = createLog('info', { instance: 'ph-1' })
 */
export const createLog = (level: EventLevel, common: EventFields): EventLog => {
  const logger = winston.createLogger({
    levels: LEVELS,
    level,
    defaultMeta: common,
    format: combine(timestamp(), json()),
    transports: [new winston.transports.Console({ stderrLevels: [] })]
  })
  return {
    emit: (kind: EventKind, fields: EventFields = {}): void => {
      logger.log(kind.level, kind.text, { event: kind.number, name: kind.name, ...shortenAll(fields) })
    }
  }
}

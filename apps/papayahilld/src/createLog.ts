import type { EventFields, EventKind, EventLevel, EventLog } from '@papayahill/common'
import { LEVELS, lineFields } from '@papayahill/logging'
import winston from 'winston'

const { combine, json, timestamp } = winston.format

/**
 * Creates a log that writes events as JSON lines to standard output, each with its number.
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
      logger.log(kind.level, kind.text, lineFields(kind, fields))
    }
  }
}

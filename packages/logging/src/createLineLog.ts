import type { EventFields, EventKind, EventLevel, EventLog } from '@papayahill/common'
import { Writable } from 'node:stream'
import winston from 'winston'
import { LOGGING_EVENTS } from './events.js'
import { LineRateLimiter } from './LineRateLimiter.js'
import { LEVELS, lineFields } from './lineFields.js'
import type { LineWriter } from './LineWriter.js'

const { combine, json, timestamp } = winston.format

export interface LineLogOptions {
  readonly level: EventLevel
  /** Fields that are added to every line. */
  readonly common: EventFields
  readonly writer: LineWriter
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/**
 * Creates a log that writes events as JSON lines. The rate of lines is limited, and logging never blocks.
 *
 * @example
 * const log = createLineLog({ level: 'info', common: { instance: 'ph-1' }, writer, now })
 */
export const createLineLog = ({ level, common, writer, now }: LineLogOptions): EventLog => {
  const rate = new LineRateLimiter()
  const stream = new Writable({
    decodeStrings: false,
    write (line: string, _encoding, done) {
      if (!writer.add(line.trimEnd())) rate.countDropped()
      done()
    }
  })
  const logger = winston.createLogger({
    levels: LEVELS,
    level,
    defaultMeta: common,
    format: combine(timestamp(), json()),
    transports: [new winston.transports.Stream({ stream })]
  })
  const write = (kind: EventKind, fields: EventFields): void => {
    logger.log(kind.level, kind.text, lineFields(kind, fields))
  }
  return {
    emit: (kind: EventKind, fields: EventFields = {}): void => {
      if (LEVELS[kind.level] > LEVELS[level]) return
      const dropped = rate.takeDroppedCount(now())
      if (dropped > 0) write(LOGGING_EVENTS.linesLeftOut, { lines: dropped })
      if (rate.tryTake(kind.level, now())) write(kind, fields)
    }
  }
}

import type { LogLine } from './types.js'

const textIn = (fields: Readonly<Record<string, unknown>>, name: string): string | undefined => {
  const value = fields[name]
  return typeof value === 'string' ? value : undefined
}

const OBJECT_START = '{"'

/** The fields that follow a text, or a line that was torn; undefined where none do. */
const fieldsIn = (text: string): Readonly<Record<string, unknown>> | undefined => {
  for (let start = text.indexOf(OBJECT_START); start >= 0; start = text.indexOf(OBJECT_START, start + 1)) {
    try {
      return JSON.parse(text.slice(start)) as Readonly<Record<string, unknown>>
    } catch {
      // A collector may join a torn line and the next one: the next may begin further on.
    }
  }
  return undefined
}

const parseLine = (text: string): LogLine | undefined => {
  const fields = fieldsIn(text)
  const name = fields === undefined ? undefined : textIn(fields, 'name')
  if (fields === undefined || name === undefined) return undefined
  const at = Date.parse(textIn(fields, 'timestamp') ?? '')
  if (Number.isNaN(at)) return undefined
  return {
    at,
    instance: textIn(fields, 'instance') ?? 'unknown',
    name,
    level: textIn(fields, 'level') ?? 'info',
    request: textIn(fields, 'request'),
    endpoint: textIn(fields, 'endpoint'),
    fields
  }
}

/**
 * Log lines among any other text, in the order of their times. What a collector wrote before a line's first brace is
 * left aside, and so is all that is no line of an instance.
 *
 * @example
 * const lines = parseLines(readFileSync('lines.jsonl', 'utf8'))
 */
export const parseLines = (text: string): readonly LogLine[] => {
  const lines = text.split('\n').map(parseLine).filter((line) => line !== undefined)
  return lines.sort((left, right) => left.at - right.at)
}

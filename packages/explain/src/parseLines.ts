import type { LogLine } from './types.js'

const stringField = (fields: Readonly<Record<string, unknown>>, name: string): string | undefined => {
  const value = fields[name]
  return typeof value === 'string' ? value : undefined
}

const OBJECT_START = '{"'

/** Parses the JSON object at the end of a text, after any prefix or truncated line; undefined if there is none. */
const parseFields = (text: string): Readonly<Record<string, unknown>> | undefined => {
  for (let start = text.indexOf(OBJECT_START); start >= 0; start = text.indexOf(OBJECT_START, start + 1)) {
    try {
      return JSON.parse(text.slice(start)) as Readonly<Record<string, unknown>>
    } catch {
      // A collector may join a truncated line and the next one, so another object may start later in the text.
    }
  }
  return undefined
}

const parseLine = (text: string): LogLine | undefined => {
  const fields = parseFields(text)
  const name = fields === undefined ? undefined : stringField(fields, 'name')
  if (fields === undefined || name === undefined) return undefined
  const at = Date.parse(stringField(fields, 'timestamp') ?? '')
  if (Number.isNaN(at)) return undefined
  return {
    at,
    instance: stringField(fields, 'instance') ?? 'unknown',
    name,
    level: stringField(fields, 'level') ?? 'info',
    request: stringField(fields, 'request'),
    endpoint: stringField(fields, 'endpoint'),
    fields
  }
}

/**
 * Extracts log lines from a text and sorts them by time. Ignores what a collector wrote before a line's first brace,
 * and all text that is not a log line of an instance.
 *
 * @example
 * const lines = parseLines(readFileSync('lines.jsonl', 'utf8'))
 */
export const parseLines = (text: string): readonly LogLine[] => {
  const lines = text.split('\n').map(parseLine).filter((line) => line !== undefined)
  return lines.sort((left, right) => left.at - right.at)
}

import type { LogLine } from './types.js'

const textIn = (fields: Readonly<Record<string, unknown>>, name: string): string | undefined => {
  const value = fields[name]
  return typeof value === 'string' ? value : undefined
}

const parseLine = (text: string): LogLine | undefined => {
  const start = text.indexOf('{')
  if (start < 0) return undefined
  try {
    const fields = JSON.parse(text.slice(start)) as Readonly<Record<string, unknown>>
    const name = textIn(fields, 'name')
    const at = Date.parse(textIn(fields, 'timestamp') ?? '')
    if (name === undefined || Number.isNaN(at)) return undefined
    return {
      at,
      instance: textIn(fields, 'instance') ?? 'unknown',
      name,
      level: textIn(fields, 'level') ?? 'info',
      request: textIn(fields, 'request'),
      endpoint: textIn(fields, 'endpoint'),
      fields
    }
  } catch {
    return undefined
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

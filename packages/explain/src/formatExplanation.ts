import type { LogLine, RequestExplanation } from './types.js'

/** Fields that are shown before the others, or that every line has. */
const COMMON_FIELDS: ReadonlySet<string> = new Set(['event', 'instance', 'level', 'message', 'name', 'request', 'timestamp'])

const showLine = ({ at, instance, name, fields }: LogLine, start: number): string => {
  const rest = Object.entries(fields).filter(([key]) => !COMMON_FIELDS.has(key)).map(([key, value]) => `${key}=${String(value)}`)
  return `  ${String(at - start).padStart(7)} ms  ${instance}  ${name}  ${rest.join(' ')}`
}

/** Formats an explanation as lines of text; times are relative to the request's first line. */
export const formatExplanation = ({ id, fate, cause, lines, evidence }: RequestExplanation): readonly string[] => {
  const start = lines[0]!.at
  const own = lines.map((line) => showLine(line, start))
  const others = evidence.map((line) => showLine(line, start))
  const evidenceLines = others.length === 0 ? [] : ['related events:', ...others]
  return [`${id}: ${fate}: ${cause}`, ...own, ...evidenceLines]
}

export type AnswerFormat = 'json' | 'event-stream'

/** One media range of an `Accept` header. */
interface MediaRange {
  readonly type: string
  readonly quality: number
}

const FORMATS: Readonly<Record<string, AnswerFormat>> = {
  'text/event-stream': 'event-stream',
  'text/*': 'event-stream',
  'application/json': 'json',
  'application/*': 'json',
  '*/*': 'json'
}

const parseMediaRange = (part: string): MediaRange => {
  const [type = '', ...parameters] = part.split(';').map((piece) => piece.trim().toLowerCase())
  const quality = parameters.find((parameter) => parameter.startsWith('q='))
  return { type, quality: quality === undefined ? 1 : Number(quality.slice(2)) }
}

/**
 * The supported format that a caller prefers by its `Accept` header; undefined if it accepts none.
 *
 * @example
 * acceptedFormat('text/event-stream, application/json;q=0.5') // 'event-stream'
 */
export const acceptedFormat = (accept: string | undefined): AnswerFormat | undefined => {
  const onlyFormat = FORMATS[accept ?? '*/*']
  if (onlyFormat !== undefined) return onlyFormat
  const ranges = (accept ?? '*/*').split(',').map(parseMediaRange).filter((range) => range.quality > 0)
  ranges.sort((left, right) => right.quality - left.quality)
  return ranges.map((range) => FORMATS[range.type]).find((format) => format !== undefined)
}

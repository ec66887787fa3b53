import { isJsonObject, millis, parseBoundedJson, TextCollector, tokens } from '@papayahill/common'
import type { JsonObject, Millis, StageUsage, Tokens } from '@papayahill/common'
import type { StageAnswer, StageCall, StageChunk } from '@papayahill/endpoints'
import type { EventSourceMessage } from 'eventsource-parser'
import { choiceText, completionAnswer } from './adapters.js'
import { parseCallId } from './callId.js'
import { MAX_STREAM } from './constants.js'
import { EventReader } from './EventReader.js'

const END_MARKER = '[DONE]'
/** Tokens counted for a chunk whose event has no `tokens` field. */
const TOKENS_PER_CHUNK = 1

/**
 * Parses an engine's server-sent events into chunks and one answer. The answer is complete only
 * once the end marker has arrived.
 *
 * @example
 * const stream = new CompletionStream(call, onChunk)
 * stream.feed(Buffer.from('data: {...}\n\n'))
 * stream.answer(took) // undefined before the end marker
 */
export class CompletionStream {
  readonly #reader: EventReader
  readonly #onChunk: (chunk: StageChunk) => void
  #index: number
  /** Text so far, with that of the chunks that a resumed stream begins after. */
  readonly #text: TextCollector
  #tokens = 0
  #lastEvent: JsonObject | undefined
  #isEnded = false

  constructor (call: StageCall, onChunk: (chunk: StageChunk) => void) {
    this.#onChunk = onChunk
    this.#index = call.resume?.chunks ?? 0
    this.#text = new TextCollector(call.resume?.text)
    this.#reader = new EventReader((event) => this.#handleEvent(event))
  }

  /** Parses a part of the stream; false once there have been too many bytes without a chunk, or too much text in all. */
  feed (data: Buffer): boolean {
    return this.#reader.feed(data) && this.#text.length <= MAX_STREAM
  }

  /** Usage of the chunks received so far, for a stream that broke. */
  partialUsage (took: Millis): StageUsage {
    return { tokensIn: tokens(0), tokensCached: tokens(0), tokensOut: tokens(this.#tokens), busy: millis(took) }
  }

  answer (took: Millis): StageAnswer | undefined {
    const call = parseCallId(this.#lastEvent?.id)
    if (!this.#isEnded || this.#lastEvent === undefined || call === undefined) return undefined
    return completionAnswer(call, this.#lastEvent, this.#text.text(), took)
  }

  /** Whether the event could be used: one without text is not, as an endpoint could repeat it without end. */
  #handleEvent (event: EventSourceMessage): boolean {
    if (event.data === END_MARKER) {
      this.#isEnded = true
      return false
    }
    const body = parseBoundedJson(event.data)
    if (!isJsonObject(body)) return false
    const text = choiceText(body)
    if (text !== '') return this.#emitChunk(body, text, event.id)
    this.#lastEvent = body
    return false
  }

  #emitChunk (body: JsonObject, text: string, id: string | undefined): boolean {
    const call = parseCallId(body.id)
    if (call === undefined) return false
    const count: Tokens = tokens(typeof body.tokens === 'number' ? body.tokens : TOKENS_PER_CHUNK)
    const index = id === undefined ? this.#index : Number(id)
    this.#index = index + 1
    this.#text.add(text)
    this.#tokens += count
    if (body.usage !== undefined) this.#lastEvent = body
    this.#onChunk({ call, index, text, tokens: count })
    return true
  }
}

import { isJsonObject, millis, parseJson, tokens } from '@papayahill/common'
import type { JsonObject, Millis, StageUsage, Tokens } from '@papayahill/common'
import type { StageAnswer, StageCall, StageChunk } from '@papayahill/endpoints'
import { createParser } from 'eventsource-parser'
import type { EventSourceMessage, EventSourceParser } from 'eventsource-parser'
import { choiceText, completionAnswer } from './adapters.js'
import { parseCallId } from './callId.js'

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
  readonly #parser: EventSourceParser
  readonly #decoder = new TextDecoder()
  readonly #onChunk: (chunk: StageChunk) => void
  #index: number
  #text: string
  #tokens = 0
  #lastEvent: JsonObject | undefined
  #isEnded = false

  constructor (call: StageCall, onChunk: (chunk: StageChunk) => void) {
    this.#onChunk = onChunk
    this.#index = call.resume?.chunks ?? 0
    this.#text = call.resume?.text ?? ''
    this.#parser = createParser({ onEvent: (event) => this.#handleEvent(event) })
  }

  feed (data: Buffer): void {
    this.#parser.feed(this.#decoder.decode(data, { stream: true }))
  }

  /** Usage of the chunks received so far, for a stream that broke. */
  partialUsage (took: Millis): StageUsage {
    return { tokensIn: tokens(0), tokensCached: tokens(0), tokensOut: tokens(this.#tokens), busy: millis(took) }
  }

  answer (took: Millis): StageAnswer | undefined {
    const call = parseCallId(this.#lastEvent?.id)
    if (!this.#isEnded || this.#lastEvent === undefined || call === undefined) return undefined
    return completionAnswer(call, this.#lastEvent, this.#text, took)
  }

  #handleEvent (event: EventSourceMessage): void {
    if (event.data === END_MARKER) {
      this.#isEnded = true
      return
    }
    const body = parseJson(event.data)
    if (!isJsonObject(body)) return
    const text = choiceText(body)
    if (text === '') this.#lastEvent = body
    else this.#emitChunk(body, text, event.id)
  }

  #emitChunk (body: JsonObject, text: string, id: string | undefined): void {
    const call = parseCallId(body.id)
    if (call === undefined) return
    const count: Tokens = tokens(typeof body.tokens === 'number' ? body.tokens : TOKENS_PER_CHUNK)
    const index = id === undefined ? this.#index : Number(id)
    this.#index = index + 1
    this.#text += text
    this.#tokens += count
    if (body.usage !== undefined) this.#lastEvent = body
    this.#onChunk({ call, index, text, tokens: count })
  }
}

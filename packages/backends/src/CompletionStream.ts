import { isJsonObject, millis, tokens } from '@papayahill/common'
import type { JsonObject, Millis, StageUsage, Tokens } from '@papayahill/common'
import type { StageAnswer, StageCall, StageChunk } from '@papayahill/endpoints'
import { createParser } from 'eventsource-parser'
import type { EventSourceMessage, EventSourceParser } from 'eventsource-parser'
import { choiceText, completionAnswer } from './adapters.js'
import { parseCallId } from './callId.js'
import { parseJson } from './parseJson.js'

const END_MARK = '[DONE]'
/** What one chunk counts for where the engine does not say. */
const TOKENS_PER_CHUNK = 1

/**
 * Reads an engine's server-sent events into chunks and one answer. An answer is whole only
 * once the end mark has come.
 *
 * @example
 * const stream = new CompletionStream(call, onChunk)
 * stream.feed('data: {...}\n\n')
 * stream.answer(took) // undefined before the end mark
 */
export class CompletionStream {
  readonly #parser: EventSourceParser
  readonly #decoder = new TextDecoder()
  readonly #onChunk: (chunk: StageChunk) => void
  #index: number
  #text: string
  #tokens = 0
  #last: JsonObject | undefined
  #isEnded = false

  constructor (call: StageCall, onChunk: (chunk: StageChunk) => void) {
    this.#onChunk = onChunk
    this.#index = call.resume?.chunks ?? 0
    this.#text = call.resume?.text ?? ''
    this.#parser = createParser({ onEvent: (event) => this.#take(event) })
  }

  feed (data: Buffer): void {
    this.#parser.feed(this.#decoder.decode(data, { stream: true }))
  }

  /** What came before the stream broke. */
  partUsage (took: Millis): StageUsage {
    return { tokensIn: tokens(0), tokensCached: tokens(0), tokensOut: tokens(this.#tokens), busy: millis(took) }
  }

  answer (took: Millis): StageAnswer | undefined {
    const call = parseCallId(this.#last?.id)
    if (!this.#isEnded || this.#last === undefined || call === undefined) return undefined
    return completionAnswer(call, this.#last, this.#text, took)
  }

  #take (event: EventSourceMessage): void {
    if (event.data === END_MARK) {
      this.#isEnded = true
      return
    }
    const body = parseJson(event.data)
    if (!isJsonObject(body)) return
    const text = choiceText(body)
    if (text === '') this.#last = body
    else this.#pass(body, text, event.id)
  }

  #pass (body: JsonObject, text: string, id: string | undefined): void {
    const call = parseCallId(body.id)
    if (call === undefined) return
    const count: Tokens = tokens(typeof body.tokens === 'number' ? body.tokens : TOKENS_PER_CHUNK)
    const index = id === undefined ? this.#index : Number(id)
    this.#index = index + 1
    this.#text += text
    this.#tokens += count
    if (body.usage !== undefined) this.#last = body
    this.#onChunk({ call, index, text, tokens: count })
  }
}

import type { AnswerChunk, AnswerSink } from '@papayahill/pipeline'

/** A caller's end of a stream: keeps the chunks as they came. */
export class CollectingSink implements AnswerSink {
  readonly indexes: number[] = []
  #text = ''

  get text (): string {
    return this.#text
  }

  chunk (chunk: AnswerChunk): boolean {
    this.indexes.push(chunk.index)
    this.#text += chunk.text
    return true
  }

  drained (): Promise<void> {
    return Promise.resolve()
  }
}

import type { AnswerChunk, AnswerSink } from '@papayahill/pipeline'

/** Collects the chunks of a stream in the order of arrival. */
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

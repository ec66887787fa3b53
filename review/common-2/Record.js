/** The record of one run: what was sent, answered and run, with times in milliseconds since its start. */
import { writeFileSync } from 'node:fs'

export class Record {
  #lines = []
  #startedAt = performance.now()

  /** Milliseconds since the start. */
  get now () {
    return performance.now() - this.#startedAt
  }

  add (text) {
    this.#lines.push(`${(this.now / 1000).toFixed(3).padStart(8)} s  ${text}`)
  }

  write (file) {
    writeFileSync(file, `${this.#lines.join('\n')}\n`)
  }
}

import { PARTS_PER_CONFIRMATION } from './constants.js'

/**
 * Takes numbered parts in order, each once, and confirms them.
 *
 * @example
 * if (receiver.take(number) === 'next') use(part)
 */
export class PartReceiver {
  readonly #confirm: (count: number) => void
  #count = 0

  constructor (confirm: (count: number) => void) {
    this.#confirm = confirm
  }

  /** Whether the part is the next one, a copy of an earlier one, or shows that one is missing. */
  take (number: number): 'next' | 'copy' | 'gap' {
    if (number < this.#count) return 'copy'
    if (number > this.#count) return 'gap'
    this.#count++
    if (this.#count % PARTS_PER_CONFIRMATION === 0) this.#confirm(this.#count)
    return 'next'
  }
}

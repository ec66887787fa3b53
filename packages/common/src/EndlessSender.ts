import type { Socket } from 'node:net'

const BLOCK_BYTES = 65_536

/**
 * Writes the start of an answer and then a part of it without end, until the connection is closed: the faulty side in tests of
 * bounds.
 *
 * @example
 * const sender = new EndlessSender('HTTP/1.1 200 ', 'x')
 * sender.send(socket)
 */
export class EndlessSender {
  readonly #start: string
  readonly #block: string
  #sentBytes = 0

  constructor (start: string, filler: string) {
    this.#start = start
    this.#block = filler.repeat(Math.ceil(BLOCK_BYTES / filler.length))
  }

  get sentBytes (): number {
    return this.#sentBytes
  }

  send (socket: Socket): void {
    socket.write(this.#start)
    this.#sendBlock(socket)
  }

  #sendBlock (socket: Socket): void {
    if (socket.destroyed) return
    this.#sentBytes += this.#block.length
    if (socket.write(this.#block)) setImmediate(() => this.#sendBlock(socket))
    else socket.once('drain', () => this.#sendBlock(socket))
  }
}

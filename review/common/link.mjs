/** The link between requesters and one machine: passes bytes on after a delay, and can be cut for a time. */
import { connect, createServer } from 'node:net'

/** One direction of a channel: bytes and the end wait while the link is cut. */
class Direction {
  #waiting = []
  #to
  #link

  constructor (link, to) {
    this.#link = link
    this.#to = to
  }

  push (bytes) {
    this.#waiting.push(() => this.#to.write(bytes))
    this.flush()
  }

  end () {
    this.#waiting.push(() => this.#to.end())
    this.flush()
  }

  flush () {
    if (this.#link.isCut) return
    for (const pass of this.#waiting.splice(0)) setTimeout(() => { if (!this.#to.destroyed) pass() }, this.#link.delayMs)
  }
}

/** A link with the one-way delay between requesters and zones of the site. */
export class Link {
  isCut = false
  delayMs = 3
  #directions = []
  #sockets = new Set()
  #server

  /** Listens for requesters; resolves with the address that stands for the machine's. */
  async listen ({ ip, port }) {
    this.#server = createServer({ allowHalfOpen: true }, (caller) => {
      const machine = connect({ port, host: ip, allowHalfOpen: true })
      this.#connect(caller, machine)
      this.#connect(machine, caller)
    })
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve))
    return { ip: '127.0.0.1', port: this.#server.address().port }
  }

  #connect (from, to) {
    const direction = new Direction(this, to)
    this.#directions.push(direction)
    this.#sockets.add(from)
    from.setNoDelay(true)
    from.on('error', () => {})
    from.on('data', (bytes) => direction.push(bytes))
    from.on('end', () => direction.end())
  }

  cut () {
    this.isCut = true
  }

  heal () {
    this.isCut = false
    for (const direction of this.#directions) direction.flush()
  }

  close () {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }
}

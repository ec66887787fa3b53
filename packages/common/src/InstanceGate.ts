type GateState = 'running' | 'paused' | 'dead'

/**
 * Delays all callbacks of one instance (timers, answers, calls) while it is paused, and drops them once it is dead.
 * This lets several instances in one process be paused and killed like processes.
 *
 * @example
 * const gate = new InstanceGate()
 * const clock = new GatedClock(virtualClock, gate)
 * gate.pause()
 */
export class InstanceGate {
  #state: GateState = 'running'
  #waiting: Array<() => void> = []

  get isDead (): boolean {
    return this.#state === 'dead'
  }

  pause (): void {
    if (this.#state === 'running') this.#state = 'paused'
  }

  resume (): void {
    if (this.#state !== 'paused') return
    this.#state = 'running'
    const waiting = this.#waiting
    this.#waiting = []
    for (const action of waiting) this.run(action)
  }

  kill (): void {
    this.#state = 'dead'
    this.#waiting = []
  }

  /** Runs `action` now if the instance is running, on resume if it is paused, or never if it is dead. */
  run (action: () => void): void {
    if (this.#state === 'running') action()
    else if (this.#state === 'paused') this.#waiting.push(action)
  }

  /** Settles like `promise`, but only while the instance is running. */
  pass<Value> (promise: Promise<Value>): Promise<Value> {
    return new Promise((resolve, reject) => {
      promise.then(
        (value) => this.run(() => resolve(value)),
        (err: Error) => this.run(() => reject(err))
      )
    })
  }
}

import type { IdempotencyKey, Json } from '@papayahill/common'
import type { KeyStatus } from '@papayahill/endpoints'

/** A service's record of the effects it performed, by idempotency key. */
export class EffectRegistry {
  readonly #outcomes = new Map<IdempotencyKey, Json | 'running'>()

  begin (key: IdempotencyKey): void {
    this.#outcomes.set(key, 'running')
  }

  end (key: IdempotencyKey, body: Json): void {
    this.#outcomes.set(key, body)
  }

  status (key: IdempotencyKey): KeyStatus {
    const outcome = this.#outcomes.get(key)
    if (outcome === undefined) return { kind: 'not-run' }
    if (outcome === 'running') return { kind: 'running' }
    return { kind: 'ran', body: outcome }
  }
}

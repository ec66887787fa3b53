import type { EndpointId } from '@papayahill/common'
import type { NamedLimit } from './NamedLimit.js'

/** What an endpoint's incarnation announced about itself. */
export interface AnnouncedState {
  readonly incarnation: string
  readonly isLeaving: boolean
  readonly limit: NamedLimit | undefined
  readonly rejectionLimit: NamedLimit | undefined
}

/**
 * Remembers what the latest incarnation of each endpoint announced, also while its row is missing. Bounded: the endpoint
 * that has announced nothing for longest is forgotten first.
 *
 * @example
 * memory.update(id, incarnation, { isLeaving: true })
 * memory.get(id, incarnation)?.isLeaving // true
 */
export class NoticeMemory {
  readonly #capacity: number
  readonly #states = new Map<EndpointId, AnnouncedState>()

  constructor (capacity: number) {
    this.#capacity = capacity
  }

  /** What this incarnation announced; undefined where only another one announced something. */
  get (id: EndpointId, incarnation: string): AnnouncedState | undefined {
    const known = this.#states.get(id)
    return known?.incarnation === incarnation ? known : undefined
  }

  update (id: EndpointId, incarnation: string, change: Partial<Omit<AnnouncedState, 'incarnation'>>): void {
    const known = this.get(id, incarnation) ?? { incarnation, isLeaving: false, limit: undefined, rejectionLimit: undefined }
    this.#states.delete(id)
    this.#states.set(id, { ...known, ...change })
    const [oldest] = this.#states.keys()
    if (this.#states.size > this.#capacity && oldest !== undefined) this.#states.delete(oldest)
  }
}

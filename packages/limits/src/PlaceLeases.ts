import type { InstanceId, Millis } from '@papayahill/common'

/** A place that this instance may use until a time. */
export interface BorrowedPlace {
  readonly lender: InstanceId
  /** The lender's number of the lease. */
  readonly id: number
  readonly until: Millis
}

/**
 * Places at one endpoint that this instance has lent or borrowed. A lease ends by itself where its return is lost.
 *
 * @example
 * leases.borrow({ lender, id, until })
 * leases.borrowedUntil(end, clock.now()) // 1
 */
export class PlaceLeases {
  readonly #lent = new Map<number, Millis>()
  #borrowed: BorrowedPlace[] = []

  lend (id: number, until: Millis): void {
    this.#lent.set(id, until)
  }

  /** A lent place is back. */
  returned (id: number): void {
    this.#lent.delete(id)
  }

  lentAt (now: Millis): number {
    for (const [id, until] of this.#lent) if (until <= now) this.#lent.delete(id)
    return this.#lent.size
  }

  borrow (place: BorrowedPlace): void {
    this.#borrowed.push(place)
  }

  /** Borrowed places that last until `end`. */
  borrowedUntil (end: Millis, now: Millis): number {
    this.#borrowed = this.#borrowed.filter(({ until }) => until > now)
    return this.#borrowed.filter(({ until }) => until > end).length
  }

  borrowedFrom (lender: InstanceId): number {
    return this.#borrowed.filter((place) => place.lender === lender).length
  }

  /** Takes the borrowed place that ends first out, to give it back; undefined if there is none. */
  takeBorrowed (): BorrowedPlace | undefined {
    return this.#borrowed.sort((left, right) => left.until - right.until).shift()
  }
}

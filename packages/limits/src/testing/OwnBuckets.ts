import { millis, MILLIS_PER_SECOND } from '@papayahill/common'
import type { Clock, Millis } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import type { KnownInstances } from '../KnownInstances.js'
import { ShareBucket } from '../ShareBucket.js'
import { UNLIMITED } from '../types.js'
import type { RequestLimits } from '../types.js'

/** A baseline: each instance has a bucket with an equal part of the rate and room for one request. */
export class OwnBuckets implements RequestLimits {
  readonly #clock: Clock
  readonly #known: KnownInstances
  readonly #buckets = new Map<string, ShareBucket>()
  readonly request = UNLIMITED.request
  readonly spacing = UNLIMITED.spacing
  readonly callEnded = UNLIMITED.callEnded
  readonly waitForPlace = UNLIMITED.waitForPlace
  readonly isUnconfirmed = UNLIMITED.isUnconfirmed

  constructor (clock: Clock, known: KnownInstances) {
    this.#clock = clock
    this.#known = known
  }

  canSend (endpoint: Endpoint): boolean {
    return this.availableIn(endpoint) === 0
  }

  trySend (endpoint: Endpoint): boolean {
    return this.#bucketOf(endpoint)?.tryTake(this.#clock.now()) ?? true
  }

  availableIn (endpoint: Endpoint): Millis {
    return this.#bucketOf(endpoint)?.availableIn(this.#clock.now()) ?? millis(0)
  }

  #bucketOf ({ id, limit }: Endpoint): ShareBucket | undefined {
    if (limit?.perSecond === undefined) return undefined
    const name = `${id} ${limit.perSecond}`
    const known = this.#buckets.get(name)
    if (known !== undefined) return known
    const bucket = new ShareBucket()
    const interval = millis(this.#known.ids.length * MILLIS_PER_SECOND / limit.perSecond)
    bucket.restart({ interval, burst: 1 }, millis(0), this.#clock.now())
    this.#buckets.set(name, bucket)
    return bucket
  }
}

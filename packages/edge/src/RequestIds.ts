import { brand } from '@papayahill/common'
import type { InstanceId, Random, RequestId } from '@papayahill/common'

const RADIX = 36
const RANDOM_RANGE = 2 ** 32

/** Generates request ids that are unique across all instances and their restarts. */
export class RequestIds {
  readonly #prefix: string
  #count = 0

  constructor (self: InstanceId, random: Random) {
    this.#prefix = `${self}-${random.below(RANDOM_RANGE).toString(RADIX)}${random.below(RANDOM_RANGE).toString(RADIX)}`
  }

  next (): RequestId {
    this.#count++
    return brand<RequestId>(`${this.#prefix}-${this.#count.toString(RADIX)}`)
  }
}

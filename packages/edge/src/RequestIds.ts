import { brand } from '@papayahill/common'
import type { InstanceId, Random, RequestId } from '@papayahill/common'

const RADIX = 36
const SALT_RANGE = 2 ** 32

/** Names requests uniquely over all lives of all instances. */
export class RequestIds {
  readonly #prefix: string
  #count = 0

  constructor (self: InstanceId, random: Random) {
    this.#prefix = `${self}-${random.below(SALT_RANGE).toString(RADIX)}${random.below(SALT_RANGE).toString(RADIX)}`
  }

  next (): RequestId {
    this.#count++
    return brand<RequestId>(`${this.#prefix}-${this.#count.toString(RADIX)}`)
  }
}

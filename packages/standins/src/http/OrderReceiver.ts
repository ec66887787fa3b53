import type { Json } from '@papayahill/common'
import { isJsonObject } from '@papayahill/common'
import { readJson, sendJson } from './HttpStandIn.js'
import type { StandInHandler } from './HttpStandIn.js'

/** Records operators' orders and, if it checks fencing, rejects old fencing tokens. */
export class OrderReceiver {
  readonly orders: Json[] = []
  readonly #checksFencing: boolean
  #highestFence = 0

  constructor (checksFencing: boolean) {
    this.#checksFencing = checksFencing
  }

  readonly handle: StandInHandler = async (req, res) => {
    const order = await readJson(req)
    const fence = isJsonObject(order) && typeof order.fence === 'number' ? order.fence : 0
    if (this.#checksFencing && fence < this.#highestFence) {
      return sendJson(res, 409, { detail: `fence ${fence} is below ${this.#highestFence}` })
    }
    this.#highestFence = Math.max(this.#highestFence, fence)
    this.orders.push(order)
    sendJson(res, 200, {})
  }
}

import { originOf } from '@papayahill/backends'
import type { Clock, Millis } from '@papayahill/common'
import { bytes, seconds } from '@papayahill/common'
import { boundedConnector } from '@papayahill/connections'
import type { Order, OrderChannel, OrderRefusal } from '@papayahill/orders'
import { Result } from 'true-myth'
import { Agent } from 'undici'

const ORDER_TIMEOUT: Millis = seconds(10)
/** Largest answer to an order, of which only the status is used. */
const MAX_ORDER_ANSWER = bytes(262_144)

type Endpoint = Parameters<OrderChannel['deliver']>[0]

const NOT_SENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

const refusalFromError = (err: unknown): OrderRefusal => {
  const detail = err instanceof Error ? err.message : String(err)
  const code = err instanceof Error && 'code' in err ? String(err.code) : ''
  return { kind: NOT_SENT_CODES.has(code) ? 'unreachable' : 'unknown', detail }
}

const refusalFromStatus = (status: number): OrderRefusal => {
  if (status === 409) return { kind: 'old-fence', detail: 'the endpoint has seen a higher fencing token' }
  return { kind: status < 500 ? 'failed' : 'unknown', detail: `the endpoint answered ${status}` }
}

/**
 * Delivers orders to endpoints over HTTP: `POST /v1/orders` with the action and its fencing token.
 *
 * @example
 * const channel = new HttpOrderChannel(clock)
 */
export class HttpOrderChannel implements OrderChannel {
  readonly #clock: Clock
  readonly #agent = new Agent({ connect: boundedConnector(MAX_ORDER_ANSWER) })

  constructor (clock: Clock) {
    this.#clock = clock
  }

  async deliver (endpoint: Endpoint, order: Order): Promise<Result<void, OrderRefusal>> {
    const abort = new AbortController()
    const timer = this.#clock.after(ORDER_TIMEOUT, () => abort.abort())
    try {
      const { statusCode, body } = await this.#agent.request({
        origin: originOf(endpoint.address),
        path: '/v1/orders',
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ action: order.action, fence: order.fence }),
        signal: abort.signal,
        // Answers name no order, so that one which is written again could be read for the next on a connection that is kept.
        reset: true
      })
      await body.dump()
      return statusCode === 200 ? Result.ok(undefined) : Result.err(refusalFromStatus(statusCode))
    } catch (err) {
      return Result.err(refusalFromError(err))
    } finally {
      timer.cancel()
    }
  }

  close (): Promise<void> {
    return this.#agent.destroy()
  }
}

import { millis } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import type { RequestLimits } from './types.js'

/**
 * Time until one of the endpoints accepts requests, by its backoff and its limit; 0 if one already does or there is none.
 *
 * @example
 * timeUntilAvailable(limits, directory.usable(service), clock.now())
 */
export const timeUntilAvailable = (limits: Pick<RequestLimits, 'availableIn'>, endpoints: readonly Endpoint[], now: Millis): Millis => {
  let least = Infinity
  for (const endpoint of endpoints) {
    least = Math.min(least, Math.max(endpoint.backoffLeft(now), limits.availableIn(endpoint)))
    if (least === 0) break
  }
  return millis(least === Infinity ? 0 : least)
}

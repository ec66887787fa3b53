import type { Millis, ServiceId } from '@papayahill/common'
import { timeUntilAvailable } from '@papayahill/limits'
import type { ForwardContext } from './ForwardContext.js'

/**
 * Retry-After of a refused request. If all endpoints of its service have limits, the returns are spread over the time in
 * which there are tokens for them; otherwise it is the given time.
 *
 * @example
 * returnTimeOf(context, service, MIN_RETRY_AFTER)
 */
export const returnTimeOf = (
  { limits, directory, clock }: Pick<ForwardContext, 'limits' | 'directory' | 'clock'>, service: ServiceId, otherwise: Millis
): Millis => {
  const endpoints = directory.usable(service)
  if (endpoints.length === 0 || limits.fairShare(endpoints) === Infinity) return otherwise
  return limits.nextReturn(service, endpoints, timeUntilAvailable(limits, endpoints, clock.now()))
}

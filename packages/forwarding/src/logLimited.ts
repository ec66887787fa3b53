import type { Endpoint } from '@papayahill/directory'
import { FORWARDING_EVENTS } from './events.js'
import type { ForwardContext } from './ForwardContext.js'
import type { ForwardRequest } from './types.js'

/**
 * Logs that a request could not be sent to an endpoint because of its limit, or because it is brittle and may be full, with
 * this instance's part in it.
 *
 * @example
 * logLimited(context, request, endpoint)
 */
export const logLimited = (
  { limits, log }: Pick<ForwardContext, 'limits' | 'log'>, { attempt }: Pick<ForwardRequest, 'attempt'>, endpoint: Endpoint
): void => {
  const room = limits.roomPartOf(endpoint)
  if (room !== undefined) log.emit(FORWARDING_EVENTS.endpointFull, { request: attempt, endpoint: endpoint.id, ...room })
  const part = limits.partOf(endpoint)
  if (part === undefined) return
  log.emit(FORWARDING_EVENTS.requestLimited, {
    request: attempt,
    endpoint: endpoint.id,
    perSecond: part.perSecond,
    source: part.source,
    ageMs: part.age,
    ownPerSecond: part.ownPerSecond,
    shares: part.shares,
    availableInMs: part.availableIn
  })
}

import { millis } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import type { Endpoint } from '@papayahill/directory'
import type { ForwardContext } from './ForwardContext.js'
import type { ForwardRequest } from './types.js'

/**
 * Forecast time from a request's final call to the start of its answer: the usual one of a stream's route; where it is learnt,
 * the expected one at the endpoint of a plain service that answers soonest; otherwise 0.
 *
 * @example
 * const answerTime = answerTimeOf(context, request, directory.usable(service))
 */
export const answerTimeOf = (
  { firstEvents, performance }: Pick<ForwardContext, 'firstEvents' | 'performance'>, { route, prompt }: Pick<ForwardRequest, 'route' | 'prompt'>,
  endpoints: readonly Endpoint[]
): Millis => {
  if (route.kind === 'streaming') return firstEvents.mean(route.name)
  if (prompt !== undefined || !performance.isActive(endpoints)) return millis(0)
  const work = { kind: 'plain', key: route.name, amount: 1 } as const
  return millis(Math.min(...endpoints.map((endpoint) => performance.expectedTime(endpoint, work) ?? 0)))
}

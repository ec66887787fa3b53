import type { Endpoint } from '@papayahill/directory'
import type { EndpointPerformance, WorkKind } from '@papayahill/performance'
import { MAX_ALLOWED_SLOWNESS } from './constants.js'

/**
 * Factor on the time-outs of a call: an endpoint that is known to be slow is not given up for it. It is bounded, so that a
 * path that is cut is still found soon; 1 where nothing is learnt.
 *
 * @example
 * const timeout = millis(usualTimeout * allowedSlowness(performance, endpoint, 'plain'))
 */
export const allowedSlowness = (performance: EndpointPerformance, endpoint: Endpoint, kind: WorkKind): number =>
  performance.isActive([endpoint]) ? Math.min(MAX_ALLOWED_SLOWNESS, Math.max(1, performance.expectedFactor(endpoint, kind))) : 1

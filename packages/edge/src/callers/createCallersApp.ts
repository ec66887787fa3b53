import { createApp } from '../createApp.js'
import type { App, Route } from '../createApp.js'
import { healthRoutes } from '../healthRoutes.js'
import { metricsRoute } from '../metricsRoute.js'
import { ClassHandler } from './ClassHandler.js'
import type { CallersAppOptions } from './ClassHandler.js'

/** The routes for callers. */
export const callersRoutes = (options: CallersAppOptions): readonly Route[] => [
  { method: 'POST', path: '/v1/workspaces/:workspace/classes/:class', handle: new ClassHandler(options).handle },
  ...healthRoutes(options.instance),
  metricsRoute(options.instance, options.secrets, options.log)
]

/**
 * Creates the callers' HTTP interface of an instance.
 *
 * @example
 * const app = createCallersApp({ instance, clock, log, limits, secrets, ids })
 * await listenOn({ app, address, connections, headerBytes, ids, log })
 */
export const createCallersApp = (options: CallersAppOptions): App =>
  createApp({ routes: callersRoutes(options), ids: options.ids, log: options.log })

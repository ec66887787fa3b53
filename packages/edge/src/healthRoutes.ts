import { refusal } from '@papayahill/common'
import type { EntryInstance } from '@papayahill/instance'
import { sendText } from './createApp.js'
import type { Exchange, Route } from './createApp.js'
import { sendProblem } from './problem.js'

const sendReadiness = (instance: EntryInstance, exchange: Exchange): void => {
  if (instance.isReady) return sendText(exchange, 200, 'ready\n')
  sendProblem(exchange.res, refusal('not-ready', 'the instance is starting or draining'), exchange.id)
}

/** Health checks for load balancers and process supervisors; both listeners serve them without a token. */
export const healthRoutes = (instance: EntryInstance): readonly Route[] => [
  { method: 'GET', path: '/healthz', handle: (exchange) => sendText(exchange, 200, 'alive\n') },
  { method: 'GET', path: '/readyz', handle: (exchange) => sendReadiness(instance, exchange) }
]

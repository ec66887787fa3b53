import { refusal } from '@papayahill/common'
import type { EventLog } from '@papayahill/common'
import type { EntryInstance } from '@papayahill/instance'
import type { InstanceSecrets } from '@papayahill/settings'
import { sendText } from './createApp.js'
import type { Exchange, Route } from './createApp.js'
import { EDGE_EVENTS } from './events.js'
import { sendProblem } from './problem.js'
import { TokenTable } from './TokenTable.js'

/** Runs a handler only for requests with an operator's token. */
export type OperatorGuard = (
  handle: (exchange: Exchange, operator: string) => Promise<void> | void
) => (exchange: Exchange) => Promise<void> | void

export const operatorGuard = (secrets: InstanceSecrets, log: EventLog): OperatorGuard => {
  const tokens = new TokenTable(secrets.operators)
  return (handle) => (exchange) => {
    const operator = tokens.holderOf(exchange.req)
    if (operator !== undefined) return handle(exchange, operator)
    log.emit(EDGE_EVENTS.tokenRefused, { request: exchange.id })
    sendProblem(exchange.res, refusal('unauthorized', 'send an operator\'s token as Authorization: Bearer'), exchange.id)
  }
}

/** Metrics name workspaces, so both listeners require an operator's token for them. */
export const metricsRoute = (instance: EntryInstance, secrets: InstanceSecrets, log: EventLog): Route => ({
  method: 'GET',
  path: '/metrics',
  handle: operatorGuard(secrets, log)(async (exchange) => sendText(exchange, 200, await instance.metrics.exposition()))
})

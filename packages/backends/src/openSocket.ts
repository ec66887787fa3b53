import { brand, isJsonObject, parseBoundedJson } from '@papayahill/common'
import type { Clock, EndpointIncarnation } from '@papayahill/common'
import { Result } from 'true-myth'
import { AnswerBody, EndpointSocket, newStopper, OPEN_TIMEOUT, stopExchange } from '@papayahill/connections'
import { MAX_QUERY_ANSWER } from './constants.js'

/** Why no connection was confirmed. */
export interface OpenFailure {
  readonly detail: string
  /** Whether nothing listens at the address. */
  readonly isRefused: boolean
}

/** A connection and the incarnation that the endpoint reported on it. */
export interface OpenedSocket {
  readonly socket: EndpointSocket
  readonly incarnation: EndpointIncarnation
}

const parseIncarnation = (text: string): EndpointIncarnation | undefined => {
  const body = parseBoundedJson(text)
  return isJsonObject(body) && typeof body.incarnation === 'string' ? brand<EndpointIncarnation>(body.incarnation) : undefined
}

/** Opens one connection and asks on it for the endpoint's incarnation. */
export const openSocket = async (origin: string, clock: Clock): Promise<Result<OpenedSocket, OpenFailure>> => {
  const socket = new EndpointSocket(origin)
  const stopper = newStopper()
  const timer = clock.after(OPEN_TIMEOUT, () => stopExchange(stopper))
  const answer = new AnswerBody(MAX_QUERY_ANSWER)
  const listener = { onStart: () => {}, onData: (data: Buffer) => { if (!answer.add(data)) stopExchange(stopper) } }
  const result = await socket.exchange({ method: 'GET', path: '/v1/identity', headers: {} }, listener, stopper)
  timer.cancel()
  const incarnation = parseIncarnation(answer.text())
  if (result.isOk && incarnation !== undefined) return Result.ok({ socket, incarnation })
  socket.close()
  if (result.isErr) return Result.err({ detail: result.error.detail, isRefused: result.error.isRefused })
  return Result.err({ detail: 'the endpoint did not report its incarnation', isRefused: false })
}

import type { Clock, EventKind, EventLog, Millis } from '@papayahill/common'
import { DIRECTORY_EVENTS } from '@papayahill/directory'
import type { Endpoint, EndpointDirectory, LimitKind } from '@papayahill/directory'
import type { AnswerNotices, LimitStatement } from './types.js'

export interface NoticeContext {
  readonly clock: Clock
  readonly log: EventLog
  readonly directory: Pick<EndpointDirectory, 'markCold' | 'noteLeaving' | 'noteBackoff' | 'noteLimit'>
}

/** The call that an answer belongs to. */
export interface AnsweredCall {
  /** Monotonic time at which it was sent. */
  readonly sentAt: Millis
  /** Whether the answer is the endpoint's own, to this call. */
  readonly isAuthentic: boolean
}

/** The part of an answer's notices that is about its endpoint rather than its request. */
export type EndpointNotices = Pick<AnswerNotices, 'isOtherEndpoint' | 'load' | 'coldFor' | 'isLeaving' | 'retryAfter' | 'limit' | 'rejectionLimit'>

/**
 * Updates the directory from the notices in an endpoint's answer, whichever request it is for. Notices of another
 * endpoint at the same address are ignored.
 *
 * @example
 * applyNotices({ clock, log, directory }, endpoint, wire.readAnswer(answer), { sentAt, isAuthentic: true })
 */
export const applyNotices = (
  { clock, log, directory }: NoticeContext, endpoint: Endpoint, notices: EndpointNotices, call: AnsweredCall
): void => {
  const { isOtherEndpoint, load, coldFor, isLeaving, retryAfter, limit, rejectionLimit } = notices
  if (isOtherEndpoint) return
  if (load !== undefined) endpoint.load = { ...load, own: endpoint.running, at: clock.now() }
  if (coldFor !== undefined) directory.markCold(endpoint, coldFor)
  if (isLeaving) directory.noteLeaving(endpoint)
  if (retryAfter?.kind === 'span') directory.noteBackoff(endpoint, retryAfter.span)
  if (retryAfter?.kind === 'malformed') log.emit(DIRECTORY_EVENTS.noticeMalformed, { endpoint: endpoint.id, found: retryAfter.text })
  applyLimit({ log, directory }, endpoint, 'limit', limit, call)
  applyLimit({ log, directory }, endpoint, 'rejectionLimit', rejectionLimit, call)
}

const MALFORMED_EVENTS: Readonly<Record<LimitKind, EventKind>> = {
  limit: DIRECTORY_EVENTS.limitMalformed, rejectionLimit: DIRECTORY_EVENTS.rejectionLimitMalformed
}

const applyLimit = (
  { log, directory }: Pick<NoticeContext, 'log' | 'directory'>, endpoint: Endpoint, kind: LimitKind, statement: LimitStatement,
  call: AnsweredCall
): void => {
  const { perSecond, found, isReadable } = statement
  if (found !== undefined && !endpoint.malformedLimits.has(kind)) {
    endpoint.malformedLimits.add(kind)
    log.emit(MALFORMED_EVENTS[kind], { endpoint: endpoint.id, found, perSecond })
  }
  if (call.isAuthentic && isReadable) directory.noteLimit(endpoint, { perSecond, sentAt: call.sentAt }, kind)
}

import type { ServerResponse } from 'node:http'
import { ERROR_ANSWERS, failure, MILLIS_PER_SECOND, refusal } from '@papayahill/common'
import type { ErrorKind, Failure, Json } from '@papayahill/common'

const PROBLEM_TYPE = 'application/problem+json'

/** Seconds for `Retry-After`, at least one; undefined if a retry does not help. */
const retryAfterSeconds = (cause: Failure): number | undefined => {
  if (cause.retryAfter !== undefined) return Math.max(1, Math.ceil(cause.retryAfter / MILLIS_PER_SECOND))
  return ERROR_ANSWERS[cause.kind].retryLater ? 1 : undefined
}

/**
 * Encodes a failure as problem details.
 *
 * @example
 * encodeProblem(refusal('over-capacity', 'the queue is full'), 'ph-1-a-1')
 */
export const encodeProblem = (cause: Failure, request: string): { readonly [key: string]: Json } => {
  const { status, title } = ERROR_ANSWERS[cause.kind]
  const after = retryAfterSeconds(cause)
  return {
    type: `urn:papayahill:error:${cause.kind}`,
    title,
    status,
    detail: cause.detail,
    kind: cause.kind,
    run: cause.run,
    request,
    ...(after === undefined ? {} : { retryAfterSeconds: after })
  }
}

/** Sends problem details; nothing may have been written to the answer before. */
export const sendProblem = (res: ServerResponse, cause: Failure, request: string): void => {
  const after = retryAfterSeconds(cause)
  const text = JSON.stringify(encodeProblem(cause, request))
  res.writeHead(ERROR_ANSWERS[cause.kind].status, {
    'content-type': PROBLEM_TYPE,
    'content-length': Buffer.byteLength(text),
    'x-request-id': request,
    ...(after === undefined ? {} : { 'retry-after': String(after) }),
    ...(cause.kind === 'unauthorized' ? { 'www-authenticate': 'Bearer' } : {})
  })
  res.end(text)
}

/**
 * Refuses a request before any stage. With a key, an earlier attempt under it may have run, which has not been
 * checked yet: only a request without a key is reported as not run.
 */
export const refuseAtEdge = (kind: ErrorKind, detail: string, hasKey: boolean): Failure =>
  hasKey ? failure(kind, `${detail}; this attempt was not sent`, 'unknown') : refusal(kind, detail)

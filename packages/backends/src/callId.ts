import { brand } from '@papayahill/common'
import type { CallId, RequestId, StageId } from '@papayahill/common'

const CALL_ID = /^(.+)\/([^/]+)\/(\d+)$/

/**
 * Parses a call id echoed by an endpoint; undefined if the text is not one.
 *
 * @example
 * parseCallId('r-81/generate/1') // { request: 'r-81', stage: 'generate', attempt: 1 }
 */
export const parseCallId = (text: unknown): CallId | undefined => {
  const [, request, stage, attempt] = typeof text === 'string' ? CALL_ID.exec(text) ?? [] : []
  if (request === undefined || stage === undefined) return undefined
  return { request: brand<RequestId>(request), stage: brand<StageId>(stage), attempt: Number(attempt) }
}

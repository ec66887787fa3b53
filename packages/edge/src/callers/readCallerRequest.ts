import { hash } from 'node:crypto'
import { brand } from '@papayahill/common'
import type { BodyDigest, ClassId, Clock, Failure, IdempotencyKey, WorkspaceId } from '@papayahill/common'
import type { EntryInstance } from '@papayahill/instance'
import type { CallerRequest } from '@papayahill/pipeline'
import type { InstanceLimits } from '@papayahill/settings'
import { Result } from 'true-myth'
import { KEY_MAX_LENGTH } from '../constants.js'
import { hasIdempotencyKey } from '../createApp.js'
import type { Exchange } from '../createApp.js'
import { refuseAtEdge } from '../problem.js'
import { readBody } from '../readBody.js'
import type { TokenTable } from '../TokenTable.js'
import { acceptedFormat } from './acceptedFormat.js'

const KEY = new RegExp(`^[\\x21-\\x7e]{1,${KEY_MAX_LENGTH}}$`)

export interface CallerContext {
  readonly instance: EntryInstance
  readonly clock: Clock
  readonly limits: InstanceLimits
  readonly tokens: TokenTable<WorkspaceId>
}

const digestOf = (bytes: Buffer): BodyDigest => brand<BodyDigest>(hash('sha256', bytes, 'base64url'))

/** Decodes a name in a path; undefined if it is not valid percent-encoding. */
const decodeName = (text: string | undefined): string | undefined => {
  try {
    return decodeURIComponent(text ?? '')
  } catch {
    return undefined
  }
}

/** Checks a request's path, token and headers against the configuration in force. */
const checkHead = (context: CallerContext, exchange: Exchange): Result<Omit<CallerRequest, 'body' | 'digest' | 'signal'>, Failure> => {
  const { req } = exchange
  const refuse = (kind: Failure['kind'], detail: string) => Result.err<never, Failure>(refuseAtEdge(kind, detail, hasIdempotencyKey(exchange)))
  const { config } = context.instance.config.view()
  const workspace = brand<WorkspaceId>(decodeName(req.params.workspace) ?? '')
  const classId = brand<ClassId>(decodeName(req.params.class) ?? '')
  if (context.tokens.has(workspace) && !context.tokens.isHolder(req, workspace)) {
    return refuse('unauthorized', 'send the workspace\'s token as Authorization: Bearer')
  }
  const settings = config.workspaces.get(workspace)
  if (settings === undefined) return refuse('unknown-workspace', 'this workspace does not exist; check the path')
  const cfg = config.classes.get(classId)
  if (cfg === undefined) return refuse('unknown-class', 'this class does not exist; check the path')
  if (settings.classes?.includes(classId) === false) return refuse('forbidden', 'this workspace may not use this class')
  const format = acceptedFormat(req.headers.accept)
  if (format === undefined) return refuse('not-acceptable', 'accept application/json or text/event-stream')
  if (format === 'event-stream' && !cfg.streamed) return refuse('not-acceptable', 'this class is not streamed; accept application/json')
  const key = req.headers['idempotency-key']
  if (key !== undefined && (typeof key !== 'string' || !KEY.test(key))) {
    return refuse('bad-header', `Idempotency-Key must have 1 to ${KEY_MAX_LENGTH} visible ASCII characters`)
  }
  if (key === undefined && cfg.keyRequired) return refuse('key-required', 'send an Idempotency-Key; use the same one when you retry')
  return Result.ok({
    id: exchange.id,
    workspace,
    class: classId,
    key: key === undefined ? undefined : brand<IdempotencyKey>(key),
    isStreamed: format === 'event-stream',
    startedAt: context.clock.now()
  })
}

/** Checks and reads a caller's request, or returns why it is refused. */
export const readCallerRequest = async (
  context: CallerContext, exchange: Exchange, signal: AbortSignal
): Promise<Result<CallerRequest, Failure>> => {
  const head = checkHead(context, exchange)
  if (head.isErr) return Result.err(head.error)
  const body = await readBody(exchange.req, context.limits.bodyBytes)
  if (body.isErr) return Result.err(refuseAtEdge(body.error.kind, body.error.detail, hasIdempotencyKey(exchange)))
  return Result.ok({ ...head.value, body: body.value.json, digest: digestOf(body.value.bytes), signal })
}

import type { IncomingMessage } from 'node:http'
import { ByteCollector, parseBoundedJson } from '@papayahill/common'
import type { ErrorKind, Json } from '@papayahill/common'
import { Result } from 'true-myth'

/** Reason to refuse a body; the caller adds whether the request may have run. */
export interface BodyFault {
  readonly kind: ErrorKind
  readonly detail: string
}

export interface Body {
  readonly bytes: Buffer
  readonly json: Json
}

const JSON_TYPE = /^application\/(json|[a-z0-9.+-]+\+json)\s*(;|$)/i

const bodyTooLarge = (limit: number): BodyFault => ({ kind: 'body-too-large', detail: `send at most ${limit} bytes` })

const readBytes = (req: IncomingMessage, limit: number): Promise<Result<Buffer, BodyFault>> => new Promise((resolve) => {
  const body = new ByteCollector()
  let size = 0
  req.on('data', (part: Buffer) => {
    size += part.length
    if (size <= limit) body.add(part)
    else resolve(Result.err(bodyTooLarge(limit)))
  })
  req.on('end', () => resolve(Result.ok(body.take())))
  req.on('error', () => resolve(Result.err({ kind: 'caller-gone', detail: 'the connection broke while the body was received' })))
})

const parse = (bytes: Buffer): Result<Body, BodyFault> => {
  const json = parseBoundedJson(bytes.toString('utf8'))
  if (json !== undefined) return Result.ok({ bytes, json })
  return Result.err({ kind: 'bad-request', detail: 'the body is not valid JSON, or has too many or too deeply nested items' })
}

/** Reads a JSON body of at most `limit` bytes; bytes above the limit are not kept. */
export const readBody = async (req: IncomingMessage, limit: number): Promise<Result<Body, BodyFault>> => {
  if (!JSON_TYPE.test(req.headers['content-type'] ?? '')) {
    return Result.err({ kind: 'unsupported-media', detail: 'send content-type: application/json' })
  }
  if (Number(req.headers['content-length'] ?? 0) > limit) return Result.err(bodyTooLarge(limit))
  return (await readBytes(req, limit)).andThen(parse)
}

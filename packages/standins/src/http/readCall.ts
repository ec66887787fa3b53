import type {
  CallId, ClassId, IdempotencyKey, Json, JsonObject, RequestId, StageId, WorkspaceId
} from '@papayahill/common'
import { brand, isJsonObject, millis } from '@papayahill/common'
import type { ResumePoint, StageCall } from '@papayahill/endpoints'
import type { FakeEndpoint } from '../FakeEndpoint.js'
import type { StandInRequest } from './HttpStandIn.js'

/** Upper bound on a call at a stand-in; the caller's own timeout expires earlier. */
const CALL_TIMEOUT = millis(3_600_000)

const headerOf = (req: StandInRequest, name: string): string | undefined => {
  const value = req.headers[name]
  return typeof value === 'string' ? value : undefined
}

const textOf = (value: Json | undefined): string | undefined => typeof value === 'string' ? value : undefined

const callIdOf = (req: StandInRequest): CallId => {
  const [request = '', stage = '', attempt = '1'] = (headerOf(req, 'x-call-id') ?? '').split('/')
  return { request: brand<RequestId>(request), stage: brand<StageId>(stage), attempt: Number(attempt) }
}

const resumeOf = (body: JsonObject): ResumePoint | undefined => {
  const resume = body.resume
  if (resume === undefined || !isJsonObject(resume)) return undefined
  return { chunks: Number(resume.chunks), text: String(resume.text) }
}

/** Decodes a call from a request written by an instance's adapters. */
export const readCall = (endpoint: FakeEndpoint, req: StandInRequest, json: Json): StageCall => {
  const body = isJsonObject(json) ? json : {}
  const key = headerOf(req, 'idempotency-key')
  return {
    id: callIdOf(req),
    service: endpoint.listed.service,
    kind: endpoint.kind,
    class: brand<ClassId>(headerOf(req, 'x-class') ?? ''),
    workspace: brand<WorkspaceId>(headerOf(req, 'x-workspace') ?? ''),
    body: body.input ?? body.prompt ?? null,
    key: key === undefined ? undefined : brand<IdempotencyKey>(decodeURIComponent(key)),
    priority: Number(body.priority ?? 0),
    timeout: CALL_TIMEOUT,
    prefix: textOf(body.cache_prefix),
    isStreamed: body.stream === true,
    resume: resumeOf(body),
    cacheImport: textOf(body.cache_import)
  }
}

import type { CallId, Json, JsonObject, Millis, StageUsage, VersionId } from '@papayahill/common'
import { isJsonObject, millis, tokens } from '@papayahill/common'
import type { StageAnswer, StageCall } from '@papayahill/endpoints'
import type { ServiceKind } from '@papayahill/settings'
import { parseCallId } from './callId.js'

/** Encodes requests to one kind of service and decodes its complete answers. */
export interface Adapter {
  readonly path: string
  encode (call: StageCall, version: VersionId): Json
  /** Undefined if the body does not match the expected format. */
  decode (body: JsonObject, took: Millis): StageAnswer | undefined
  /** Usage of a failed call as reported by the endpoint. */
  usage (json: Json | undefined, took: Millis): StageUsage
}

const numberOr = (value: Json | undefined, other: number): number => typeof value === 'number' ? value : other

const promptOf = (body: Json): string => typeof body === 'string' ? body : JSON.stringify(body)

/** Omits undefined fields, because engines treat null as a value. */
const omitUndefined = (fields: Readonly<Record<string, Json | undefined>>): JsonObject =>
  Object.fromEntries(Object.entries(fields).filter((entry): entry is [string, Json] => entry[1] !== undefined))

const encodeCompletion = (call: StageCall, version: VersionId): Json => omitUndefined({
  model: version,
  prompt: promptOf(call.body),
  stream: call.isStreamed,
  priority: call.priority,
  cache_prefix: call.prefix,
  cache_import: call.cacheImport,
  resume: call.resume && { chunks: call.resume.chunks, text: call.resume.text }
})

/** Decodes an OpenAI-compatible `usage` object. */
export const completionUsage = (json: Json | undefined, took: Millis): StageUsage => {
  const usage = json !== undefined && isJsonObject(json) ? json : {}
  const details = usage.prompt_tokens_details
  const cached = details !== undefined && isJsonObject(details) ? numberOr(details.cached_tokens, 0) : 0
  return {
    tokensIn: tokens(numberOr(usage.prompt_tokens, cached) - cached),
    tokensCached: tokens(cached),
    tokensOut: tokens(numberOr(usage.completion_tokens, 0)),
    busy: millis(numberOr(usage.busy_ms, took))
  }
}

/** Text of the first choice. */
export const choiceText = (body: JsonObject): string => {
  const [choice] = Array.isArray(body.choices) ? body.choices as readonly Json[] : []
  return choice !== undefined && isJsonObject(choice) && typeof choice.text === 'string' ? choice.text : ''
}

/** Builds an engine's answer from its last event or its complete body. */
export const completionAnswer = (call: CallId, body: JsonObject, text: string, took: Millis): StageAnswer => {
  const metadata = body.metadata !== undefined && isJsonObject(body.metadata) ? body.metadata : {}
  return { call, body: { ...metadata, text }, usage: completionUsage(body.usage, took) }
}

const decodeCompletion = (body: JsonObject, took: Millis): StageAnswer | undefined => {
  const call = parseCallId(body.id)
  return call && completionAnswer(call, body, choiceText(body), took)
}

const plainUsage = (json: Json | undefined, took: Millis): StageUsage => {
  const usage = json !== undefined && isJsonObject(json) ? json : {}
  return {
    tokensIn: tokens(numberOr(usage.tokensIn, 0)),
    tokensCached: tokens(numberOr(usage.tokensCached, 0)),
    tokensOut: tokens(numberOr(usage.tokensOut, 0)),
    busy: millis(numberOr(usage.busy, took))
  }
}

const decodePlain = (body: JsonObject, took: Millis): StageAnswer | undefined => {
  const call = parseCallId(body.id)
  if (call === undefined || body.output === undefined) return undefined
  return { call, body: body.output, usage: plainUsage(body.usage, took) }
}

const plainAdapter = (path: string): Adapter => ({
  path, encode: (call) => ({ input: call.body }), decode: decodePlain, usage: plainUsage
})

/** Adapters by service kind; a new kind needs one entry here. */
export const ADAPTERS: Readonly<Record<ServiceKind, Adapter>> = {
  engine: { path: '/v1/completions', encode: encodeCompletion, decode: decodeCompletion, usage: completionUsage },
  encoder: plainAdapter('/v1/encode'),
  retriever: plainAdapter('/v1/retrieve'),
  reranker: plainAdapter('/v1/rerank'),
  plain: plainAdapter('/v1/call')
}

import { parseJson, seconds } from '@papayahill/common'
import type { Json, Millis } from '@papayahill/common'
import { Result } from 'true-myth'
import { z } from 'zod'
import type { HttpResponse, HttpError } from './HttpExchange.js'
import type { InstanceListing, Row, StoreError } from './types.js'

const JSON_VALUE = z.json() as z.ZodType<Json>

const ROW = z.object({ key: z.string(), version: z.int().min(0), value: JSON_VALUE }) as unknown as z.ZodType<Row>
export const ROWS = z.object({ rows: z.array(ROW) })

const STATE = z.enum(['live', 'leaving'])
const ADDRESS = z.object({ ip: z.string(), port: z.int() })
const ENDPOINT = z.object({
  id: z.string(), service: z.string(), version: z.string(), domain: z.string(), address: ADDRESS, state: STATE
})
const INSTANCE = z.object({ id: z.string(), domain: z.string(), address: ADDRESS, state: STATE })

export const LISTING = z.object({
  endpoints: z.array(ENDPOINT), instances: z.array(INSTANCE)
}) as unknown as z.ZodType<InstanceListing>

/** Parses and validates the body of a response; undefined if it does not match the schema. */
export const readBody = <Value>(response: HttpResponse, schema: z.ZodType<Value>): Value | undefined => {
  const parsed = schema.safeParse(parseJson(response.text))
  return parsed.success ? parsed.data : undefined
}

const retryAfterOf = (response: HttpResponse): Millis | undefined => {
  const after = Number(response.retryAfter)
  return response.retryAfter === undefined || Number.isNaN(after) ? undefined : seconds(after)
}

/** A read has no effect, so no response and an error response are both `unavailable`. */
export const readStatusError = (response: HttpResponse): StoreError => ({
  kind: 'unavailable', detail: `the platform answered ${response.status}`, retryAfter: retryAfterOf(response)
})

export const readNetworkError = (error: HttpError): StoreError => ({ kind: 'unavailable', detail: error.detail })

/** 4xx and 503 mean that nothing was written; any other error status leaves that unknown. */
export const writeStatusError = (response: HttpResponse): StoreError => {
  const isRefused = response.status === 503 || (response.status >= 400 && response.status < 500)
  return isRefused ? readStatusError(response) : { kind: 'unknown', detail: `the platform answered ${response.status}` }
}

export const writeNetworkError = (error: HttpError): StoreError =>
  error.kind === 'not-sent' ? { kind: 'unavailable', detail: error.detail } : { kind: 'unknown', detail: error.detail }

/** The validated body of a read's response, or the error. */
export const readResult = <Value>(
  result: Result<HttpResponse, HttpError>, schema: z.ZodType<Value>
): Result<Value, StoreError> => {
  if (result.isErr) return Result.err(readNetworkError(result.error))
  if (result.value.status !== 200) return Result.err(readStatusError(result.value))
  const body = readBody(result.value, schema)
  return body === undefined
    ? Result.err({ kind: 'unavailable', detail: 'the platform sent a malformed response' })
    : Result.ok(body)
}

import { seconds } from '@papayahill/common'
import type { Json, Millis } from '@papayahill/common'
import { Result } from 'true-myth'
import { z } from 'zod'
import type { HttpAnswer, HttpLoss } from './HttpExchange.js'
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

const parseText = (text: string): unknown => {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/** Reads an answer's body; undefined where it has another form. */
export const readBody = <Value>(answer: HttpAnswer, schema: z.ZodType<Value>): Value | undefined => {
  const parsed = schema.safeParse(parseText(answer.text))
  return parsed.success ? parsed.data : undefined
}

const retryAfterOf = (answer: HttpAnswer): Millis | undefined => {
  const after = Number(answer.retryAfter)
  return answer.retryAfter === undefined || Number.isNaN(after) ? undefined : seconds(after)
}

/** A read has no effect, so that no answer and a bad one mean the same. */
export const readError = (answer: HttpAnswer): StoreError => ({
  kind: 'unavailable', detail: `the platform answered ${answer.status}`, retryAfter: retryAfterOf(answer)
})

export const readLoss = (loss: HttpLoss): StoreError => ({ kind: 'unavailable', detail: loss.detail })

/** 4xx and 503 say that nothing was done; any other answer leaves that open. */
export const writeError = (answer: HttpAnswer): StoreError => {
  const isRefused = answer.status === 503 || (answer.status >= 400 && answer.status < 500)
  return isRefused ? readError(answer) : { kind: 'unknown', detail: `the platform answered ${answer.status}` }
}

export const writeLoss = (loss: HttpLoss): StoreError =>
  loss.kind === 'not-sent' ? { kind: 'unavailable', detail: loss.detail } : { kind: 'unknown', detail: loss.detail }

/** The body of a read's answer, or why there is none of use. */
export const readResult = <Value>(
  result: Result<HttpAnswer, HttpLoss>, schema: z.ZodType<Value>
): Result<Value, StoreError> => {
  if (result.isErr) return Result.err(readLoss(result.error))
  if (result.value.status !== 200) return Result.err(readError(result.value))
  const body = readBody(result.value, schema)
  return body === undefined
    ? Result.err({ kind: 'unavailable', detail: 'the platform answered in an unknown form' })
    : Result.ok(body)
}

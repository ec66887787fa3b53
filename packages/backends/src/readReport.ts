import type { Json } from '@papayahill/common'
import type { CacheEvent, KeyStatus, LoadReport } from '@papayahill/endpoints'
import { z } from 'zod'

const COUNT = z.number().min(0)

const REPORT = z.object({
  endpoint: z.string(),
  incarnation: z.string(),
  sequence: COUNT,
  running: COUNT,
  queued: COUNT,
  completed: COUNT,
  bears: COUNT,
  bearsWarm: COUNT,
  isWarm: z.boolean()
}) as unknown as z.ZodType<LoadReport>

const CACHE_EVENT = z.object({
  endpoint: z.string(),
  incarnation: z.string(),
  sequence: COUNT,
  kind: z.enum(['stored', 'evicted', 'cleared']),
  prefix: z.string()
}) as unknown as z.ZodType<CacheEvent>

const KEY_STATUS = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('ran'), body: z.json() }),
  z.object({ kind: z.literal('not-run') }),
  z.object({ kind: z.literal('running') })
]) as unknown as z.ZodType<KeyStatus>

const readWith = <Value>(schema: z.ZodType<Value>) => (json: Json): Value | undefined => {
  const parsed = schema.safeParse(json)
  return parsed.success ? parsed.data : undefined
}

/** Validates a load report from an endpoint; undefined if its format is invalid. */
export const readReport = readWith(REPORT)
export const readCacheEvent = readWith(CACHE_EVENT)
export const readKeyStatus = readWith(KEY_STATUS)

import { brand } from '@papayahill/common'
import type { Json, ServiceId } from '@papayahill/common'
import type { RowKey } from '@papayahill/stores'
import { z } from 'zod'

const issuerSchema = z.object({
  /** Highest fencing token allocated for the service. */
  fence: z.number().int().nonnegative(),
  /** Incarnation of the instance that holds the token, and the order that it is for. */
  holder: z.string(),
  order: z.string()
})

/** The row of a service's orders: the issuer of the last one and its fencing token. */
export type IssuerRecord = z.infer<typeof issuerSchema>

export const issuerRowKey = (service: ServiceId): RowKey => brand<RowKey>(`order/giver/${service}`)

/** Parses a record; a missing or malformed one counts as a service without orders. */
export const parseIssuer = (value: Json | undefined): IssuerRecord => {
  const parsed = issuerSchema.safeParse(value)
  return parsed.success ? parsed.data : { fence: 0, holder: '', order: '' }
}

const loadPaceSchema = z.object({ nextAt: z.number() })

/** Row that paces loads from the weight store across all instances and services. */
export const LOAD_PACE_ROW = brand<RowKey>('order/pace')

/** Wall clock time at which the weight store has capacity for the next load; 0 before the first. */
export const parseNextLoadAt = (value: Json | undefined): number => {
  const parsed = loadPaceSchema.safeParse(value)
  return parsed.success ? parsed.data.nextAt : 0
}

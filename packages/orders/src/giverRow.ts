import { brand } from '@papayahill/common'
import type { Json, ServiceId } from '@papayahill/common'
import type { RowKey } from '@papayahill/stores'
import { z } from 'zod'

const giverSchema = z.object({
  /** Highest fencing number given out for the service. */
  fence: z.number().int().nonnegative(),
  /** Life of the instance that holds the number, and the order that it is for. */
  holder: z.string(),
  order: z.string()
})

/** What the table service holds of a service's orders: who gave the last one, and its fencing number. */
export type GiverRecord = z.infer<typeof giverSchema>

export const giverRowKey = (service: ServiceId): RowKey => brand<RowKey>(`order/giver/${service}`)

/** Reads a record; that of a service that got no order yet from anything else. */
export const parseGiver = (value: Json | undefined): GiverRecord => {
  const parsed = giverSchema.safeParse(value)
  return parsed.success ? parsed.data : { fence: 0, holder: '', order: '' }
}

const paceSchema = z.object({ nextAt: z.number() })

/** Row that paces loads from the weight store over all instances and services. */
export const PACE_ROW = brand<RowKey>('order/pace')

/** Calendar time at which the weight store bears the next load; 0 where none was made yet. */
export const parsePace = (value: Json | undefined): number => {
  const parsed = paceSchema.safeParse(value)
  return parsed.success ? parsed.data.nextAt : 0
}

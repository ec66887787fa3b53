import { brand } from '@papayahill/common'
import type { Json, ServiceId } from '@papayahill/common'
import type { RowKey } from '@papayahill/stores'
import { z } from 'zod'

const moveRecordSchema = z.object({
  /** Configuration version at which the move was started; identifies the move. */
  startedAt: z.number(),
  state: z.enum(['moving', 'done', 'taken-back']),
  share: z.number().min(0).max(1),
  /** Wall-clock times at which the move began and at which its share was last set. */
  begunAt: z.number(),
  steppedAt: z.number(),
  because: z.string()
})

/** Stored state of a service's newest move. */
export type MoveRecord = z.infer<typeof moveRecordSchema>

/** The initial record of a move that has not been written yet. */
export const firstRecord = (startedAt: number, now: number): MoveRecord =>
  ({ startedAt, state: 'moving', share: 0, begunAt: now, steppedAt: now, because: '' })

/** A record with the version of its row. */
export interface RecordedMove {
  readonly version: number
  readonly record: MoveRecord | undefined
}

export const moveRowKey = (service: ServiceId): RowKey => brand<RowKey>(`move/${service}`)

/** Parses a record; undefined if the value is not one, such as that of an absent row. */
export const parseMoveRecord = (value: Json): MoveRecord | undefined => {
  const parsed = moveRecordSchema.safeParse(value)
  return parsed.success ? parsed.data : undefined
}

const recordedSchema = z.object({ version: z.number(), record: moveRecordSchema })

/** Parses a record received from a peer. */
export const parseRecordedMove = (value: unknown): RecordedMove | undefined => {
  const parsed = recordedSchema.safeParse(value)
  return parsed.success ? parsed.data : undefined
}

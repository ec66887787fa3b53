import { brand, isJsonObject, millis } from '@papayahill/common'
import type { Incarnation, InstanceId, Json, JsonObject, Millis } from '@papayahill/common'
import { TOKENS_PER_ERA } from './constants.js'
import type { FencingToken } from './types.js'

/** The lease as it stands in the store. */
export interface LeaseRecord {
  readonly holder: InstanceId
  readonly incarnation: Incarnation
  readonly token: FencingToken
  /** Incremented by each write. */
  readonly renewal: number
  /** Who held the lease before this holder; empty if nobody did. */
  readonly before: string
  /** Whether the holder has stopped to act and handed the lease over. */
  readonly isReleased: boolean
  /** How long others wait from when they hear of this record until they may take the lease. */
  readonly wait: Millis
}

/** A record with the era of the store's history that it belongs to. */
export interface DatedLease {
  readonly era: number
  readonly record: LeaseRecord
}

/** Stands for a row that does not exist or cannot be read: a holder may be acting all the same. */
export const absentLease = (wait: Millis): LeaseRecord => ({
  holder: brand<InstanceId>(''),
  incarnation: brand<Incarnation>(''),
  token: brand<FencingToken>(0),
  renewal: 0,
  before: '',
  isReleased: false,
  wait
})

export const encodeLease = ({ holder, incarnation, token, renewal, before, isReleased, wait }: LeaseRecord): JsonObject =>
  ({ holder, incarnation, token, renewal, before, isReleased, wait })

/** Reads a record; undefined if the value is none. */
export const parseLease = (value: Json | undefined): LeaseRecord | undefined => {
  if (!isJsonObject(value)) return undefined
  const { holder, incarnation, token, renewal, before, isReleased, wait } = value
  if (typeof holder !== 'string' || typeof incarnation !== 'string') return undefined
  if (!Number.isSafeInteger(token) || !Number.isSafeInteger(renewal) || typeof wait !== 'number' || !(wait >= 0)) return undefined
  return {
    holder: brand<InstanceId>(holder),
    incarnation: brand<Incarnation>(incarnation),
    token: brand<FencingToken>(token as number),
    renewal: renewal as number,
    before: typeof before === 'string' ? before : '',
    isReleased: isReleased === true,
    wait: millis(wait)
  }
}

export const encodeDatedLease = ({ era, record }: DatedLease): Json => ({ ...encodeLease(record), era })

export const parseDatedLease = (value: Json): DatedLease | undefined => {
  const record = parseLease(value)
  const era = isJsonObject(value) ? value.era : undefined
  return record === undefined || typeof era !== 'number' || !Number.isSafeInteger(era) ? undefined : { era, record }
}

/** Positive if the left one is newer: by era, then token, then renewal. */
export const compareLeases = (left: DatedLease, right: DatedLease): number =>
  left.era - right.era || left.record.token - right.record.token || left.record.renewal - right.record.renewal

/** The lowest token that is above all given ones and within the era. */
export const nextToken = (era: number, ...tokens: readonly FencingToken[]): FencingToken =>
  brand<FencingToken>(Math.max(era * TOKENS_PER_ERA, ...tokens.map((token) => token + 1), 1))

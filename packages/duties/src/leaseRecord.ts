import { brand, isJsonObject, millis } from '@papayahill/common'
import type { Incarnation, InstanceId, Json, JsonObject, Millis } from '@papayahill/common'
import { MAX_WAIT, TOKENS_PER_ERA } from './constants.js'
import type { FencingToken, LeaseHolder } from './types.js'

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

/** A position at which the row is replaced. */
export interface LeasePosition {
  readonly era: number
  readonly revision: number
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
  if (!Number.isSafeInteger(token) || !Number.isSafeInteger(renewal)) return undefined
  if (typeof wait !== 'number' || !(wait >= 0 && wait <= MAX_WAIT)) return undefined
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

/**
 * A lease as a message, in an array because each renewal goes to all instances: 20 bytes instead of 150. The holder is left
 * out where it is the sender.
 */
export const encodeDatedLease = ({ era, record }: DatedLease, sender: Incarnation): Json => {
  const { holder, incarnation, token, renewal, isReleased, wait } = record
  return [era, token, renewal, wait, isReleased, ...(incarnation === sender ? [] : [holder, incarnation])]
}

/** Reads a lease from a message; undefined if it is none. The message does not tell who held the lease before. */
export const parseDatedLease = (value: Json, sender: LeaseHolder): DatedLease | undefined => {
  if (!Array.isArray(value)) return undefined
  const [era, token, renewal, wait, isReleased, holder = sender.id, incarnation = sender.incarnation] = value as readonly Json[]
  const record = parseLease({ holder, incarnation, token, renewal, isReleased, wait } as JsonObject)
  return record === undefined || !Number.isSafeInteger(era) ? undefined : { era: era as number, record }
}

/** Positive if the left one is newer: by era, then token, then renewal. */
export const compareLeases = (left: DatedLease, right: DatedLease): number =>
  left.era - right.era || left.record.token - right.record.token || left.record.renewal - right.record.renewal

/**
 * A token that is above all given ones, and above those that were taken before in this era. The revision counts because a
 * write of an earlier era, applied late, can replace a record whose token is then known to nobody; it raises the revision.
 */
export const nextToken = ({ era, revision }: LeasePosition, ...tokens: readonly FencingToken[]): FencingToken =>
  brand<FencingToken>(Math.max(era * TOKENS_PER_ERA + revision, ...tokens.map((token) => token + 1), 1))

import { isJsonObject } from '@papayahill/common'
import type { Json, Millis } from '@papayahill/common'

/** Where an instance learned a limit: from an answer of the endpoint, or from another instance that got one. */
export type LimitSource = 'answer' | 'instance'

/** The requests per second that an endpoint's incarnation accepts from all instances together. */
export interface NamedLimit {
  /** Undefined after the endpoint withdrew its limit. */
  readonly perSecond: number | undefined
  /** Logical clock of the endpoint's limit: increases with each change that an instance observes in an answer. */
  readonly version: number
  readonly source: LimitSource
  /** Monotonic time at which this instance learned it. */
  readonly learnedAt: Millis
  /** Monotonic time of the latest answer that confirmed it; `learnedAt` if there was none since. */
  readonly confirmedAt: Millis
}

/** An answer's statement about its endpoint's limit. */
export interface AnsweredLimit {
  /** Undefined where the answer names no limit. */
  readonly perSecond: number | undefined
  /** Monotonic time at which the answered request was sent. */
  readonly sentAt: Millis
}

/** A limit as one instance tells it to another; `perSecond` is null after the endpoint withdrew it. */
export interface LimitNotice {
  readonly perSecond: number | null
  readonly version: number
}

const isRate = (value: unknown): value is number | null =>
  value === null || (typeof value === 'number' && Number.isFinite(value) && value > 0)

const isVersion = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) > 0

/** Reads a notice from the fields of a message; undefined if it is malformed. */
export const decodeLimitNotice = (value: Json | undefined): LimitNotice | undefined => {
  if (!isJsonObject(value)) return undefined
  const { perSecond, version } = value
  return isRate(perSecond) && isVersion(version) ? { perSecond, version } : undefined
}

/** A limit in the form in which it is told to other instances. */
export const noticeOf = ({ perSecond, version }: NamedLimit): LimitNotice => ({ perSecond: perSecond ?? null, version })

/** Requests per second that a limit allows; Infinity without a limit. */
const rateOf = (limit: Pick<NamedLimit, 'perSecond'> | undefined): number => limit?.perSecond ?? Infinity

/**
 * The limit after an answer. A lower limit applies at once. One is raised or withdrawn only by the answer to a request that
 * was sent after the last confirmation, since other answers may have been made before the limit was named.
 *
 * @example
 * limitAfterAnswer(undefined, { perSecond: 2, sentAt }, now) // { perSecond: 2, version: 1, ... }
 */
export const limitAfterAnswer = (known: NamedLimit | undefined, answer: AnsweredLimit, now: Millis): NamedLimit | undefined => {
  const { perSecond, sentAt } = answer
  if (perSecond === known?.perSecond) return known === undefined || perSecond === undefined ? known : { ...known, confirmedAt: now }
  const isRelaxed = rateOf(answer) > rateOf(known)
  if (isRelaxed && known !== undefined && sentAt <= known.confirmedAt) return known
  return { perSecond, version: (known?.version ?? 0) + 1, source: 'answer', learnedAt: now, confirmedAt: now }
}

/**
 * The limit after a notice from another instance: the newer version wins, and the lower limit where two instances observed
 * different changes of the same version.
 *
 * @example
 * limitAfterNotice(known, { perSecond: null, version: 4 }, now)
 */
export const limitAfterNotice = (known: NamedLimit | undefined, notice: LimitNotice, now: Millis): NamedLimit | undefined => {
  const perSecond = notice.perSecond ?? undefined
  const version = known?.version ?? 0
  const isLower = rateOf({ perSecond }) < rateOf(known)
  if (notice.version < version || (notice.version === version && !isLower)) return known
  return { perSecond, version: notice.version, source: 'instance', learnedAt: now, confirmedAt: now }
}

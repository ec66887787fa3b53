import { microUnits, millis, tokens } from '@papayahill/common'
import type { Millis, Tokens } from '@papayahill/common'
import type { Prices, ServiceKind } from '@papayahill/settings'

/** Service times of an endpoint, and how many calls it runs concurrently. */
export interface WorkModel {
  /** Mean time of one call; for engines, until the first chunk without a cached prefix. */
  readonly callTime: Millis
  /** Share of `callTime` that a cached prefix saves. */
  readonly prefixSaving: number
  readonly chunks: number
  readonly chunkGap: Millis
  readonly tokensPerChunk: Tokens
  readonly tokensIn: Tokens
  /** Concurrent calls that it can run right after a start. */
  readonly maxConcurrencyCold: number
  /** Concurrent calls that it can run when warm. */
  readonly maxConcurrencyWarm: number
  /** Completed calls that raise the current limit by one. */
  readonly completedPerStep: number
  /** Capacity of the cache, in prompt prefixes. */
  readonly cachedPrefixes: number
}

const PLAIN: WorkModel = {
  callTime: millis(25),
  prefixSaving: 0,
  chunks: 0,
  chunkGap: millis(0),
  tokensPerChunk: tokens(0),
  tokensIn: tokens(0),
  maxConcurrencyCold: 2,
  maxConcurrencyWarm: 12,
  completedPerStep: 4,
  cachedPrefixes: 0
}

/** Default model of each kind of service; tests override single fields. */
export const WORK_MODELS: Readonly<Record<ServiceKind, WorkModel>> = {
  engine: {
    ...PLAIN,
    callTime: millis(220),
    prefixSaving: 0.7,
    chunks: 24,
    chunkGap: millis(22),
    tokensPerChunk: tokens(4),
    tokensIn: tokens(600),
    maxConcurrencyCold: 2,
    maxConcurrencyWarm: 16,
    cachedPrefixes: 32
  },
  encoder: { ...PLAIN, callTime: millis(18), tokensIn: tokens(600) },
  retriever: { ...PLAIN, callTime: millis(35) },
  reranker: { ...PLAIN, callTime: millis(45), tokensIn: tokens(1200) },
  plain: PLAIN
}

const FREE: Prices = {
  perCall: microUnits(0),
  perSecond: microUnits(0),
  perThousandTokensIn: microUnits(0),
  perThousandTokensCached: microUnits(0),
  perThousandTokensOut: microUnits(0)
}

/** Prices at which the stand-ins bill; the same as in the settings of the examples. */
export const STANDIN_PRICES: Readonly<Record<ServiceKind, Prices>> = {
  engine: {
    ...FREE,
    perThousandTokensIn: microUnits(500),
    perThousandTokensCached: microUnits(50),
    perThousandTokensOut: microUnits(1500)
  },
  encoder: { ...FREE, perCall: microUnits(10), perThousandTokensIn: microUnits(20) },
  retriever: { ...FREE, perCall: microUnits(40) },
  reranker: { ...FREE, perCall: microUnits(15), perThousandTokensIn: microUnits(30) },
  plain: { ...FREE, perCall: microUnits(100) }
}

import { microUnits, MILLIS_PER_SECOND } from '@papayahill/common'
import type { MicroUnits, StageUsage } from '@papayahill/common'
import type { Prices } from '@papayahill/settings'

const THOUSAND = 1000

/**
 * What one call costs, rounded once to whole micro-units.
 *
 * @example
 * callCost(prices, { tokensIn: tokens(600), tokensCached: tokens(0), tokensOut: tokens(96), busy: millis(740) })
 */
export const callCost = (prices: Prices, usage: StageUsage): MicroUnits => microUnits(Math.round(
  prices.perCall +
  prices.perSecond * usage.busy / MILLIS_PER_SECOND +
  prices.perThousandTokensIn * usage.tokensIn / THOUSAND +
  prices.perThousandTokensCached * usage.tokensCached / THOUSAND +
  prices.perThousandTokensOut * usage.tokensOut / THOUSAND
))

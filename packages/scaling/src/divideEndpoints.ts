import type { DomainId } from '@papayahill/common'
import type { ScalingProfile } from '@papayahill/directory'

/**
 * Divides endpoints evenly between failure domains within the limits of each. What cannot be divided evenly goes where more
 * are already, so that a number that stays the same moves nothing.
 *
 * @example
 * divideEndpoints(5, { min: 1, max: 4 }, new Map([[east, 2], [west, 3]])) // 2 and 3
 */
export const divideEndpoints = (
  total: number, { min, max }: Pick<ScalingProfile, 'min' | 'max'>, ordered: ReadonlyMap<DomainId, number>
): ReadonlyMap<DomainId, number> => {
  const domains = [...ordered.keys()].sort((left, right) => ordered.get(right)! - ordered.get(left)! || (left < right ? -1 : 1))
  const share = Math.floor(total / Math.max(1, domains.length))
  const rest = total - share * domains.length
  return new Map(domains.map((domain, at) => [domain, Math.min(max, Math.max(min, share + (at < rest ? 1 : 0)))]))
}

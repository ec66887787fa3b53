import { CAPACITY_FRACTION } from './constants.js'

/**
 * Highest share of an instance's calls that the new version's slots can serve; 0 without a slot.
 *
 * @example
 * capacityShare({ slots: 4 }, 8) // 0.4
 */
export const capacityShare = ({ slots }: { readonly slots: number }, concurrency: number): number => {
  if (slots <= 0) return 0
  return concurrency === 0 ? 1 : Math.min(1, CAPACITY_FRACTION * slots / concurrency)
}

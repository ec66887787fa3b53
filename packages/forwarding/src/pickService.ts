import type { Random, ServiceId } from '@papayahill/common'
import type { ServingRoute } from '@papayahill/directory'

/** Picks one of a route's services at random by weight. */
export const pickService = (random: Random, { targets }: ServingRoute): ServiceId | undefined => {
  const total = targets.reduce((sum, target) => sum + target.weight, 0)
  let drawn = random.next() * total
  for (const { service, weight } of targets) {
    drawn -= weight
    if (drawn < 0) return service
  }
  return targets.at(-1)?.service
}

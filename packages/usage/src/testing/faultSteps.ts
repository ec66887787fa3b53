import { millis } from '@papayahill/common'
import type { Millis } from '@papayahill/common'
import type { UsageHarness } from './UsageHarness.js'
import type { UsageInstance } from './UsageInstance.js'

const LENGTH_MS = 5000

/** Waits for a moment within a window that depends on the seed. */
export const reachPhase = async (harness: UsageHarness, seed: number): Promise<void> => {
  await harness.clock.advance(millis(LENGTH_MS * 2 + seed * 1379 % LENGTH_MS))
}

/** A sixth of the instances, the holder included. */
export const sixthOf = ({ alive, holder }: UsageHarness, seed: number): readonly UsageInstance[] => {
  const count = Math.max(1, Math.floor(alive.length / 6))
  const others = alive.filter((instance) => instance !== holder)
  const stride = Math.max(1, Math.floor(others.length / count))
  const chosen = others.filter((_instance, at) => at % stride === seed % stride).slice(0, count - 1)
  return holder === undefined ? chosen : [holder, ...chosen]
}

export const killAll = (harness: UsageHarness, instances: readonly UsageInstance[]): void => {
  for (const instance of instances) harness.kill(instance)
}

/** Cuts one instance that is not the holder from some of the others. */
export const cutOne = async (
  harness: UsageHarness, seed: number, span: Millis, isCutFrom: (instance: UsageInstance) => boolean
): Promise<void> => {
  await reachPhase(harness, seed)
  const cut = harness.alive.find((instance) => instance !== harness.holder)!
  const others = harness.alive.filter((instance) => instance !== cut && isCutFrom(instance))
  for (const { identity } of others) harness.network.partition(cut.identity, identity)
  await harness.clock.advance(span)
  for (const { identity } of others) harness.network.heal(cut.identity, identity)
}

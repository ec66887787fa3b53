import type { Failure, StageRecord, WasteCause } from '@papayahill/common'

const CAUSES: Partial<Readonly<Record<Failure['kind'], WasteCause>>> = {
  'caller-gone': 'cancelled',
  'slow-caller': 'cancelled',
  'over-capacity': 'refused-downstream',
  'no-endpoint': 'refused-downstream'
}

/**
 * Marks the work of a request that got no answer as waste; causes already known stay.
 *
 * @example
 * markWaste(stages, failure) // each stage with its `waste`
 */
export const markWaste = (stages: readonly StageRecord[], cause: Failure): readonly StageRecord[] =>
  stages.map((stage) => ({ ...stage, waste: stage.waste ?? CAUSES[cause.kind] ?? 'abandoned' }))

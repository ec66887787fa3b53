import type { Failure, StageRecord, WasteCause } from '@papayahill/common'

const WASTE_BY_FAILURE: Partial<Readonly<Record<Failure['kind'], WasteCause>>> = {
  'caller-gone': 'cancelled',
  'slow-caller': 'cancelled',
  'over-capacity': 'refused-downstream',
  'no-endpoint': 'refused-downstream'
}

/**
 * Marks the work of a request that got no answer as waste; keeps causes that are already set.
 *
 * @example
 * markWaste(stages, failure) // each stage with its `waste`
 */
export const markWaste = (stages: readonly StageRecord[], cause: Failure): readonly StageRecord[] =>
  stages.map((stage) => ({ ...stage, waste: stage.waste ?? WASTE_BY_FAILURE[cause.kind] ?? 'abandoned' }))

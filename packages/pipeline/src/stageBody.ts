import type { Json } from '@papayahill/common'

/**
 * Builds the body of a stage call: the caller's own body and the previous stage's answer (null at the first stage).
 *
 * @example
 * stageBody({ question: 'Why does the loop stall?' }, null)
 */
export const stageBody = (input: Json, previous: Json): Json => ({ input, previous })

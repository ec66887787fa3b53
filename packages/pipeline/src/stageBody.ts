import type { Json } from '@papayahill/common'

/**
 * The body of each stage call: the caller's own body, and what the stage before answered (null at the first).
 *
 * @example
 * stageBody({ question: 'Why does the loop stall?' }, null)
 */
export const stageBody = (input: Json, previous: Json): Json => ({ input, previous })

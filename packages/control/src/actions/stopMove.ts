import { Result } from 'true-myth'
import type { ChangeAction } from './types.js'

/** Stops a move; the old version keeps serving. */
export const stopMove: ChangeAction<'move-stop'> = (config, change) => {
  if (!config.moves.has(change.service)) return Result.err(`no move of ${change.service} is in progress`)
  const moves = new Map(config.moves)
  moves.delete(change.service)
  return Result.ok({ ...config, moves })
}

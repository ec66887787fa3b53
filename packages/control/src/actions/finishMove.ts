import { Result } from 'true-myth'
import type { ChangeAction } from './types.js'

/** Completes a move: the new version becomes the service's version. */
export const finishMove: ChangeAction<'move-done'> = (config, change) => {
  const settings = config.services.get(change.service)
  const move = config.moves.get(change.service)
  if (settings === undefined || move === undefined || move.to !== change.version) {
    return Result.err(`no move of ${change.service} to ${change.version} is in progress`)
  }
  const moves = new Map(config.moves)
  moves.delete(change.service)
  const services = new Map(config.services).set(change.service, { ...settings, version: change.version })
  return Result.ok({ ...config, services, moves })
}

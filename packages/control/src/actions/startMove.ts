import { Result } from 'true-myth'
import type { ChangeAction } from './types.js'

/** Starts a move from the service's current version. */
export const startMove: ChangeAction<'move-start'> = (config, change, version) => {
  const { service, to } = change.move
  const settings = config.services.get(service)
  if (settings === undefined) return Result.err(`there is no service ${service}`)
  if (config.moves.has(service)) return Result.err(`a move of ${service} is in progress; stop it first`)
  if (settings.version === to) return Result.err(`${service} is already at version ${to}`)
  const move = { ...change.move, from: settings.version, startedAt: version }
  return Result.ok({ ...config, moves: new Map(config.moves).set(service, move) })
}

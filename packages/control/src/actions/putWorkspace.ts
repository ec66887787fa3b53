import { Result } from 'true-myth'
import type { ChangeAction } from './types.js'

/** Adds a workspace or replaces the one with the same name. */
export const putWorkspace: ChangeAction<'put-workspace'> = (config, change) => Result.ok({
  ...config,
  workspaces: new Map(config.workspaces).set(change.workspace.id, change.workspace)
})

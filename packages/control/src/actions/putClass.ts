import { Result } from 'true-myth'
import type { ChangeAction } from './types.js'

/** Adds a class or replaces the one with the same name. */
export const putClass: ChangeAction<'put-class'> = (config, change) => Result.ok({
  ...config,
  classes: new Map(config.classes).set(change.class.id, change.class)
})

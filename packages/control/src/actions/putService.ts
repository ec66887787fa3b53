import { Result } from 'true-myth'
import type { ChangeAction } from './types.js'

/** Adds a service or replaces the one with the same name. */
export const putService: ChangeAction<'put-service'> = (config, change) => Result.ok({
  ...config,
  services: new Map(config.services).set(change.service.id, change.service)
})

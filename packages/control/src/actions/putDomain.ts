import { Result } from 'true-myth'
import type { ChangeAction } from './types.js'

/** Adds a domain or replaces the one with the same name. */
export const putDomain: ChangeAction<'put-domain'> = (config, change) => Result.ok({
  ...config,
  domains: new Map(config.domains).set(change.domain.id, change.domain)
})

import { Result } from 'true-myth'
import type { ChangeAction } from './types.js'

/** Takes a failure domain out; idempotent. */
export const takeDomainOut: ChangeAction<'domain-out'> = (config, change) => config.domains.has(change.domain)
  ? Result.ok({ ...config, domainsOut: new Set(config.domainsOut).add(change.domain) })
  : Result.err(`there is no failure domain ${change.domain}`)

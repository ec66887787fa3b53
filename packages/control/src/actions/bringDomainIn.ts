import { Result } from 'true-myth'
import type { ChangeAction } from './types.js'

/** Brings a failure domain back in. */
export const bringDomainIn: ChangeAction<'domain-in'> = (config, change) => config.domains.has(change.domain)
  ? Result.ok({ ...config, domainsOut: new Set([...config.domainsOut].filter((domain) => domain !== change.domain)) })
  : Result.err(`there is no failure domain ${change.domain}`)

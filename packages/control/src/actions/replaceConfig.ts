import { Result } from 'true-myth'
import type { ChangeAction } from './types.js'

/** Replaces the declared configuration; domains that are out and moves in progress stay unchanged. */
export const replaceConfig: ChangeAction<'replace'> = (config, change) => Result.ok({
  ...change.config,
  domainsOut: config.domainsOut,
  moves: config.moves
})

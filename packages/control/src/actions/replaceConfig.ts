import { Result } from 'true-myth'
import type { ChangeAction } from './types.js'

/** Sets everything that operators declare; domains that are out and moves under way stay as they are. */
export const replaceConfig: ChangeAction<'replace'> = (config, change) => Result.ok({
  ...change.config,
  domainsOut: config.domainsOut,
  moves: config.moves
})

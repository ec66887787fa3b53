import type { OperatorConfig } from '@papayahill/settings'
import { Result } from 'true-myth'
import type { ConfigChange } from '../types.js'
import { bringDomainIn } from './bringDomainIn.js'
import { finishMove } from './finishMove.js'
import { putBudgets } from './putBudgets.js'
import { putClass } from './putClass.js'
import { putDomain } from './putDomain.js'
import { putPipeline } from './putPipeline.js'
import { putService } from './putService.js'
import { putWorkspace } from './putWorkspace.js'
import { replaceConfig } from './replaceConfig.js'
import { startMove } from './startMove.js'
import { stopMove } from './stopMove.js'
import { takeDomainOut } from './takeDomainOut.js'
import type { ChangeAction, ChangeKind } from './types.js'

const CHANGE_ACTIONS: { readonly [Kind in ChangeKind]: ChangeAction<Kind> } = {
  replace: replaceConfig,
  'put-service': putService,
  'put-pipeline': putPipeline,
  'put-class': putClass,
  'put-workspace': putWorkspace,
  'put-domain': putDomain,
  'put-budgets': putBudgets,
  'domain-out': takeDomainOut,
  'domain-in': bringDomainIn,
  'move-start': startMove,
  'move-stop': stopMove,
  'move-done': finishMove
}

const applyChange = (config: OperatorConfig, change: ConfigChange, version: number): Result<OperatorConfig, string> => {
  const action = CHANGE_ACTIONS[change.kind] as ChangeAction<ChangeKind>
  return action(config, change, version)
}

/**
 * Applies the changes of one version to a configuration; the error says why one of them cannot be applied.
 *
 * @example
 * applyChanges(config, [{ kind: 'domain-out', domain }], 12)
 */
export const applyChanges = (
  config: OperatorConfig, changes: readonly ConfigChange[], version: number
): Result<OperatorConfig, string> => changes.reduce<Result<OperatorConfig, string>>(
  (result, change) => result.andThen((before) => applyChange(before, change, version)),
  Result.ok(config)
)
